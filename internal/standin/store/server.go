package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"waxwingpick"
	"waxwingpick/internal/standin/memkv"
	"waxwingpick/internal/standin/server"
)

// pageItems is the number of items on a page. The platform has far more; a small number makes tests read several pages.
const pageItems = 3

// Server is a running stand-in.
type Server struct {
	*server.Server
	store *memkv.Store
	kv    *memkv.Client

	mu      sync.Mutex
	history []item
	// compacted is the newest revision whose change was removed from the history.
	compacted int64
	// era is the number of the header Store-Era, which is not sent while it is zero.
	era int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// item is the JSON form of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"createRevision,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// New starts a stand-in without keys.
func New(opts ...server.Option) (*Server, error) {
	s := &Server{
		changed: make(chan struct{}),
	}
	var err error
	if s.Server, err = server.New(s.routes, opts...); err != nil {
		return nil, fmt.Errorf("start store stand-in: %w", err)
	}
	s.store = memkv.New(s.Timers())
	s.kv = s.store.Client()
	s.store.Record(s.recordChange)
	s.Start()
	return s, nil
}

// Store returns the service behind the server with its fault switches and counters.
func (s *Server) Store() *memkv.Store {
	return s.store
}

// Put writes a key unconditionally, as operators and targets do.
func (s *Server) Put(ctx context.Context, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	return s.PutRaw(ctx, key, encoded)
}

// PutRaw writes any bytes as the value of a key unconditionally.
func (s *Server) PutRaw(ctx context.Context, key string, value []byte) error {
	before, _ := s.store.Peek(key)
	if _, err := s.kv.CompareAndSwap(ctx, key, before.Revision, value, 0); err != nil {
		return fmt.Errorf("put %s: %w", key, err)
	}
	return nil
}

// Remove removes a key unconditionally.
func (s *Server) Remove(ctx context.Context, key string) error {
	before, _ := s.store.Peek(key)
	if err := s.kv.CompareAndDelete(ctx, key, before.Revision); err != nil {
		return fmt.Errorf("remove %s: %w", key, err)
	}
	return nil
}

// Compact compacts the history, so that watches from older revisions fail and have to start again with a range.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.history); n > 0 {
		s.compacted = s.history[n-1].Revision
	}
	s.history = nil
	s.notifyWatches()
}

// SetEra sets the era that all responses name; zero for none.
func (s *Server) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Restore makes the service return from an older copy, in the next era. Watches from later revisions get 410, unless these are
// given out again before.
func (s *Server) Restore(c memkv.Copy) {
	s.store.Restore(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.history = slices.DeleteFunc(s.history, func(i item) bool { return i.Revision > c.Revision() })
	s.notifyWatches()
}

// recordChange appends a change to the history.
func (s *Server) recordChange(c memkv.Change) {
	change := itemOf(c.Entry, c.Details)
	change.Tombstone = c.Removed
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, change)
	s.notifyWatches()
}

// notifyWatches makes waiting watches read the history again. The lock is held.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func itemOf(e waxwingpick.Entry, d memkv.Details) item {
	return item{
		Key:      e.Key,
		Value:    e.Value,
		Revision: e.Revision,
		Created:  d.Created,
		Lease:    int64(d.Lease),
	}
}

func (s *Server) routes(app *fiber.App) {
	app.Use(func(c fiber.Ctx) error {
		err := c.Next()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.era != 0 {
			c.Set("Store-Era", strconv.FormatInt(s.era, 10))
		}
		return err
	})
	app.Get("/kv-key", s.key)
	app.Get("/kv-range", s.items)
	app.Get("/kv-watch", s.watch)
	app.Post("/kv-txn", s.transact)
	app.Post("/kv-lease", s.grant)
	app.Post("/kv-keep/:id", s.keepAlive)
	app.Delete("/kv-lease-end/:id", s.revoke)
}

func (s *Server) key(c fiber.Ctx) error {
	e, err := s.kv.Get(c.RequestCtx(), strings.Clone(c.Query("key")))
	if err != nil {
		return sendError(c, err)
	}
	if !e.Exists() {
		return c.SendStatus(http.StatusNotFound)
	}
	_, details := s.store.Peek(e.Key)
	return c.JSON(itemOf(e, details))
}

func (s *Server) items(c fiber.Ctx) error {
	after := c.Query("after")
	revision := s.store.Revision()
	entries, err := s.kv.List(c.RequestCtx(), strings.Clone(c.Query("pathPrefix")), 1<<20)
	if err != nil {
		return sendError(c, err)
	}
	page := fiber.Map{
		"morePages":     false,
		"storeRevision": revision,
	}
	items := []item{}
	for _, e := range entries {
		if e.Key <= after {
			continue
		}
		if len(items) == pageItems {
			page["morePages"] = true
			break
		}
		_, details := s.store.Peek(e.Key)
		items = append(items, itemOf(e, details))
	}
	page["items"] = items
	return c.JSON(page)
}

func (s *Server) watch(c fiber.Ctx) error {
	after, errAfter := strconv.ParseInt(c.Query("after"), 10, 64)
	wait, errWait := strconv.Atoi(c.Query("waitMs"))
	if errors.Join(errAfter, errWait) != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	prefix := strings.Clone(c.Query("pathPrefix"))
	// Watches do not reach memkv. The empty list applies its call faults to them too.
	if _, err := s.kv.List(c.RequestCtx(), "", 0); err != nil {
		return sendError(c, err)
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, tooOld, changed := s.changesSince(prefix, after)
		if tooOld {
			return c.SendStatus(http.StatusGone)
		}
		if len(events) > 0 {
			return c.JSON(fiber.Map{
				"events":        events,
				"storeRevision": events[len(events)-1].Revision,
			})
		}
		select {
		case <-changed:
		case <-limit:
			return c.JSON(fiber.Map{
				"events":        []item{},
				"storeRevision": after,
			})
		}
	}
}

// changesSince returns the changes after a revision, whether some of them were compacted, and a channel that is closed
// at the next change.
func (s *Server) changesSince(prefix string, after int64) (events []item, tooOld bool, changed <-chan struct{}) {
	newest := s.store.Revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > newest {
		return nil, true, nil
	}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, false, s.changed
}

type transaction struct {
	Expected []item   `json:"expected"`
	Puts     []item   `json:"puts"`
	Remove   []string `json:"remove"`
}

// transact runs a transaction on one key. The system sends no others.
func (s *Server) transact(c fiber.Ctx) error {
	var t transaction
	if err := json.Unmarshal(c.Body(), &t); err != nil || len(t.Expected) != 1 || len(t.Puts)+len(t.Remove) > 1 {
		return c.SendStatus(http.StatusBadRequest)
	}
	expected := t.Expected[0]
	if strings.HasPrefix(expected.Key, "op/") || strings.HasPrefix(expected.Key, "servers/") {
		return c.SendStatus(http.StatusForbidden)
	}
	revision := int64(0)
	var err error
	if len(t.Puts) == 1 {
		var e waxwingpick.Entry
		e, err = s.kv.CompareAndSwap(c.RequestCtx(), expected.Key, expected.Revision, t.Puts[0].Value, waxwingpick.LeaseID(t.Puts[0].Lease))
		revision = e.Revision
	} else {
		err = s.kv.CompareAndDelete(c.RequestCtx(), expected.Key, expected.Revision)
		revision = s.store.Revision()
	}
	if err != nil {
		return sendError(c, err)
	}
	return c.JSON(fiber.Map{
		"revision": revision,
	})
}

type lease struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

func (s *Server) grant(c fiber.Ctx) error {
	var l lease
	if err := json.Unmarshal(c.Body(), &l); err != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	id, err := s.kv.Grant(c.RequestCtx(), time.Duration(l.TTL)*time.Millisecond)
	if err != nil {
		return sendError(c, err)
	}
	l.Lease = int64(id)
	return c.JSON(l)
}

func (s *Server) keepAlive(c fiber.Ctx) error {
	left, err := s.kv.KeepAlive(c.RequestCtx(), leaseOf(c))
	if err != nil {
		return sendError(c, err)
	}
	return c.JSON(lease{
		TTL: left.Milliseconds(),
	})
}

func (s *Server) revoke(c fiber.Ctx) error {
	if err := s.kv.Revoke(c.RequestCtx(), leaseOf(c)); err != nil {
		return sendError(c, err)
	}
	return c.SendStatus(http.StatusOK)
}

func leaseOf(c fiber.Ctx) waxwingpick.LeaseID {
	id, err := strconv.ParseInt(c.Params("id"), 10, 64)
	if err != nil {
		return 0 // No lease has this ID.
	}
	return waxwingpick.LeaseID(id)
}

// sendError responds to a failed call. It closes the connection where the response is lost.
func sendError(c fiber.Ctx, err error) error {
	switch {
	case errors.Is(err, waxwingpick.ErrUnknownOutcome):
		c.RequestCtx().HijackSetNoResponse(true)
		c.RequestCtx().Hijack(func(conn net.Conn) {
			conn.Close()
		})
		return nil
	case errors.Is(err, memkv.ErrTooManyCalls):
		return c.SendStatus(http.StatusTooManyRequests)
	case errors.Is(err, waxwingpick.ErrUnavailable):
		return c.SendStatus(http.StatusServiceUnavailable)
	case errors.Is(err, waxwingpick.ErrConflict):
		return c.SendStatus(http.StatusPreconditionFailed)
	case errors.Is(err, waxwingpick.ErrLeaseExpired):
		return c.SendStatus(http.StatusNotFound)
	}
	return c.SendStatus(http.StatusBadRequest)
}
