package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"waxwingpick"
	"waxwingpick/internal/standin/memkv"
	"waxwingpick/internal/standin/server"
)

// pageItems is the number of items on one page, far fewer than the platform's, so that tests see several pages.
const pageItems = 3

// Server is the stand-in.
type Server struct {
	*server.Server
	store *memkv.Store
	kv    *memkv.Client

	mu      sync.Mutex
	history []item
	// forgotten is the newest revision whose change was forgotten.
	forgotten int64
	changed   chan struct{}
}

// item is a key as the pages show it.
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
	s.store.Subscribe("", s.note)
	s.Start()
	return s, nil
}

// Store returns the service behind the server with its fault switches and counters.
func (s *Server) Store() *memkv.Store {
	return s.store
}

// Put writes a key as the operators and targets do, whatever its revision is.
func (s *Server) Put(ctx context.Context, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	before, _ := s.store.Peek(key)
	if _, err := s.kv.CompareAndSwap(ctx, key, before.Revision, encoded, 0); err != nil {
		return fmt.Errorf("put %s: %w", key, err)
	}
	return nil
}

// Remove removes a key.
func (s *Server) Remove(ctx context.Context, key string) error {
	before, _ := s.store.Peek(key)
	if err := s.kv.CompareAndDelete(ctx, key, before.Revision); err != nil {
		return fmt.Errorf("remove %s: %w", key, err)
	}
	return nil
}

// Forget drops the history, so that watches have to begin anew.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.history); n > 0 {
		s.forgotten = s.history[n-1].Revision
	}
	s.history = nil
	s.wake()
}

// note keeps a change for watches.
func (s *Server) note(key string) {
	e, details := s.store.Peek(key)
	change := item{
		Key:       key,
		Revision:  s.store.Revision(),
		Tombstone: true,
	}
	if e.Exists() {
		change = itemOf(e, details)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, change)
	s.wake()
}

// wake has waiting watches look again; the lock is held.
func (s *Server) wake() {
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
	app.Get("/kv-key", s.key)
	app.Get("/kv-range", s.items)
	app.Get("/kv-watch", s.watch)
	app.Post("/kv-txn", s.transact)
	app.Post("/kv-lease", s.grant)
	app.Post("/kv-keep/:id", s.keep)
	app.Delete("/kv-lease-end/:id", s.endLease)
}

func (s *Server) key(c fiber.Ctx) error {
	e, err := s.kv.Get(c.RequestCtx(), strings.Clone(c.Query("key")))
	if err != nil {
		return refuse(c, err)
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
		return refuse(c, err)
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
	// A watch is a call too, so that the faults of calls meet it.
	if _, err := s.kv.List(c.RequestCtx(), "", 0); err != nil {
		return refuse(c, err)
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, gone, changed := s.since(prefix, after)
		if gone {
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

// since returns the changes after a revision, or that they are forgotten, and what is closed at the next change.
func (s *Server) since(prefix string, after int64) (events []item, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
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

// transact takes the transactions of one key, which are all that the system sends.
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
		return refuse(c, err)
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
		return refuse(c, err)
	}
	l.Lease = int64(id)
	return c.JSON(l)
}

func (s *Server) keep(c fiber.Ctx) error {
	left, err := s.kv.KeepAlive(c.RequestCtx(), leaseOf(c))
	if err != nil {
		return refuse(c, err)
	}
	return c.JSON(lease{
		TTL: left.Milliseconds(),
	})
}

func (s *Server) endLease(c fiber.Ctx) error {
	if err := s.kv.Revoke(c.RequestCtx(), leaseOf(c)); err != nil {
		return refuse(c, err)
	}
	return c.SendStatus(http.StatusOK)
}

func leaseOf(c fiber.Ctx) waxwingpick.LeaseID {
	id, err := strconv.ParseInt(c.Params("id"), 10, 64)
	if err != nil {
		return 0 // Names no lease.
	}
	return waxwingpick.LeaseID(id)
}

// refuse answers a call that failed; one whose answer is lost loses its connection.
func refuse(c fiber.Ctx, err error) error {
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
