package engine

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/internal/standin/server"
)

// Headers and error types of the engine's HTTP interface.
const (
	HeaderStreamID = "X-Stream-Id"

	errorTypeStale = "staleFencingNumber"
	prefillPrefix  = "prefill-"

	chatPath        = "/v1/chat/completions"
	completionsPath = "/v1/completions"
	streamsPath     = "/v1/streams/"
	prefillPath     = "/kv/prefill"
	exportPath      = "/kv/export"
	importPath      = "/kv/import"
	fetchPath       = "/kv/fetch"
	statePath       = "/admin/state"
	orderPath       = "/admin/order"
	loadPath        = "/admin/load"
)

var (
	errUnknownStream  = eris.New("no such stream or offset")
	errCancelled      = eris.New("the name has been cancelled")
	errRepeatedStream = eris.New("the stream ID has been used")
	errWrongModel     = eris.New("the model is not loaded")
	errBrokenOff      = eris.New("the stream ended before its regular end")
	errTooLong        = eris.New("the request exceeds the engine's memory")
)

// CacheEvents is the answer of GET /admin/cacheEvents.
type CacheEvents struct {
	BootID string                   `json:"bootId"`
	Events []waxwingpick.CacheEvent `json:"events"`
}

type exportRequest struct {
	StreamID  string `json:"streamId"`
	Reference bool   `json:"reference"`
}

type importAnswer struct {
	Handle string `json:"handle"`
}

func (e *Engine) routes(app *fiber.App) {
	app.Post(chatPath, func(c fiber.Ctx) error {
		return e.generate(c, true)
	})
	app.Post(completionsPath, func(c fiber.Ctx) error {
		return e.generate(c, false)
	})
	app.Get("/v1/models", e.getModels)
	app.Get(streamsPath+":id", e.getStream)
	app.Delete(streamsPath+":id", e.deleteStream)
	app.Post(prefillPath, e.postPrefill)
	app.Post(exportPath, e.postExport)
	app.Post(importPath, e.postImport)
	app.Get(fetchPath, e.getFetch)
	app.Get(statePath, func(c fiber.Ctx) error {
		return c.JSON(e.State())
	})
	app.Post(orderPath, e.postOrder)
	app.Get(loadPath, func(c fiber.Ctx) error {
		return c.JSON(e.Load())
	})
	app.Get("/admin/cacheEvents", func(c fiber.Ctx) error {
		return c.JSON(e.cacheEvents(int64(fiber.Query[int](c, "after"))))
	})
	app.Get("/admin/record", func(c fiber.Ctx) error {
		return c.JSON(e.Record())
	})
	e.faultRoutes(app)
}

func (e *Engine) generate(c fiber.Ctx, chat bool) error {
	s, req, err := e.parseRequest(streamID(c), chat, c.Body())
	if err != nil {
		return e.refuse(c, err)
	}
	if err := e.begin(s, req); err != nil {
		return e.refuse(c, err)
	}
	if req.Stream {
		return e.streamEvents(c, s, 0)
	}
	if err := e.await(context.Background(), s); err != nil {
		server.Break(c)
		return nil
	}
	return sendJSON(c, s.whole())
}

// begin checks a request against the engine's state and submits it.
func (e *Engine) begin(s *stream, req generateRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusesWork() {
		return errBusy
	}
	if e.barred.Contains(strings.TrimPrefix(s.id, prefillPrefix)) {
		return errCancelled
	}
	if req.Model != "" && req.Model != e.active.Model && req.Model != e.active.Adapter {
		return fmt.Errorf("%w: %s", errWrongModel, req.Model)
	}
	if s.pieces > e.cfg.pieces {
		return errTooLong
	}
	if _, used := e.streams[s.id]; used {
		e.record.Violations.RepeatedStreams++
		return errRepeatedStream
	}
	if req.KVHandle != "" {
		if err := e.adopt(s, req.KVHandle); err != nil {
			return err
		}
	}
	e.submit(s)
	return nil
}

// adopt lets a request start from imported KV cache, whose pieces become the request's own.
func (e *Engine) adopt(s *stream, id string) error {
	h, ok := e.handles[id]
	if !ok || h.pending {
		return fmt.Errorf("handle %s: %w", id, errUnknownCache)
	}
	if h.data.Prompt != s.prompt {
		return fmt.Errorf("handle %s: %w", id, errWrongCache)
	}
	s.cached = CountTokens(h.data.Prompt) + h.data.Generated
	h.stop()
	delete(e.handles, id)
	e.used -= h.pieces
	return nil
}

// await waits for the end of a stream; it fails when that is not the regular one.
func (e *Engine) await(ctx context.Context, s *stream) error {
	for {
		e.mu.Lock()
		phase, changed := s.phase, s.changed
		ended := s.ended()
		e.mu.Unlock()
		if ended && phase != phaseFinished {
			return errBrokenOff
		}
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errBrokenOff
		}
	}
}

func (e *Engine) getModels(c fiber.Ctx) error {
	active := e.State().Active
	list := modelList{
		Object: "list",
	}
	for _, name := range []string{active.Model, active.Adapter} {
		if name == "" {
			continue
		}
		list.Data = append(list.Data, modelCard{
			ID:      name,
			Object:  "model",
			OwnedBy: "engine",
		})
	}
	return c.JSON(list)
}

func (e *Engine) getStream(c fiber.Ctx) error {
	offset := fiber.Query[int](c, "offset", 0)
	s, err := e.resume(namedStream(c), offset)
	if err != nil {
		return e.refuse(c, err)
	}
	return e.streamEvents(c, s, offset)
}

// resume returns a stream that has events from the offset on.
func (e *Engine) resume(id string, offset int) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	// A stream that was cut or cancelled has no regular end to resume to.
	if !ok || s.phase >= phaseCut || offset < 0 || offset > len(s.tokens) {
		return nil, errUnknownStream
	}
	return s, nil
}

func (e *Engine) deleteStream(c fiber.Ctx) error {
	e.cancel(namedStream(c))
	return c.SendStatus(fiber.StatusNoContent)
}

// cancel ends a stream or a prefill and frees KV cache of the name. A request
// that the cancel has overtaken is refused when it comes.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.barred.Add(id, struct{}{})
	freed := e.free(id)
	for _, name := range []string{id, prefillPrefix + id} {
		s, ok := e.streams[name]
		if !ok {
			continue
		}
		freed = freed || !s.ended()
		e.finish(s, phaseCancelled, e.now())
	}
	if freed {
		e.record.Cancelled++
	}
}

func (e *Engine) postOrder(c fiber.Ctx) error {
	var order waxwingpick.EngineOrder
	if err := c.Bind().JSON(&order); err != nil {
		return e.refuse(c, fmt.Errorf("%w: %s", errBadRequest, err.Error()))
	}
	if err := e.Submit(order); err != nil {
		return e.refuse(c, err)
	}
	return c.Status(fiber.StatusAccepted).JSON(e.State())
}

func (e *Engine) postPrefill(c fiber.Ctx) error {
	chat := c.Query("path") != completionsPath
	s, req, err := e.parseRequest(streamID(c), chat, c.Body())
	if err != nil {
		return e.refuse(c, err)
	}
	export, err := e.prefill(context.Background(), s, req, c.Query("reference") == "true")
	if errors.Is(err, errBrokenOff) {
		server.Break(c)
		return nil
	}
	if err != nil {
		return e.refuse(c, err)
	}
	return c.JSON(export)
}

// prefill computes the KV cache of a request and holds it.
func (e *Engine) prefill(ctx context.Context, s *stream, req generateRequest, byReference bool) (waxwingpick.KVExport, error) {
	id := s.id
	s.id = prefillPrefix + id
	// A prefill generates nothing; the one token is the time to its end.
	s.tokens = s.tokens[:1]
	s.pieces = e.piecesFor(s.promptLen)
	if err := e.begin(s, req); err != nil {
		return waxwingpick.KVExport{}, err
	}
	if err := e.await(ctx, s); err != nil {
		return waxwingpick.KVExport{}, err
	}
	return e.keepPrefill(id, s, byReference)
}

// keepPrefill holds the computed cache under the stream ID until it is cancelled.
func (e *Engine) keepPrefill(id string, s *stream, byReference bool) (waxwingpick.KVExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.barred.Contains(id) {
		return waxwingpick.KVExport{}, errCancelled
	}
	data := kvData{
		Prompt:    s.prompt,
		Generated: s.delivered,
	}
	h, err := e.hold(id, data.tokens())
	if err != nil {
		return waxwingpick.KVExport{}, err
	}
	h.data = data
	h.pending = false
	return e.exportOf(id, data, byReference), nil
}

func (e *Engine) postExport(c fiber.Ctx) error {
	var req exportRequest
	if err := c.Bind().JSON(&req); err != nil {
		return e.refuse(c, fmt.Errorf("%w: %s", errBadRequest, err.Error()))
	}
	export, err := e.exportStream(req.StreamID, req.Reference)
	if err != nil {
		return e.refuse(c, err)
	}
	return c.JSON(export)
}

func (e *Engine) postImport(c fiber.Ctx) error {
	var export waxwingpick.KVExport
	if err := c.Bind().JSON(&export); err != nil {
		return e.refuse(c, fmt.Errorf("%w: %s", errBadRequest, err.Error()))
	}
	id, err := e.importKV(streamID(c), export)
	if err != nil {
		return e.refuse(c, err)
	}
	return c.JSON(importAnswer{
		Handle: id,
	})
}

// refuse answers with the status of an error; nothing ran.
func (e *Engine) refuse(c fiber.Ctx, err error) error {
	e.noteRefusal(err)
	status, kind := fiber.StatusBadRequest, "invalid_request_error"
	switch {
	case errors.Is(err, errStale):
		status, kind = fiber.StatusConflict, errorTypeStale
	case errors.Is(err, errRepeatedStream):
		status, kind = fiber.StatusConflict, "repeatedStream"
	case errors.Is(err, errUnknownStream), errors.Is(err, errCancelled), errors.Is(err, errWrongModel), errors.Is(err, errUnknownCache):
		status, kind = fiber.StatusNotFound, "notFound"
	case errors.Is(err, errWrongCache):
		status, kind = fiber.StatusUnprocessableEntity, "wrongCache"
	case errors.Is(err, errForbidden):
		status, kind = fiber.StatusForbidden, "forbidden"
	case errors.Is(err, errBusy), errors.Is(err, errNoMemory), errors.Is(err, errNotFetched):
		status, kind = fiber.StatusServiceUnavailable, "unavailable"
	}
	return c.Status(status).JSON(errorBody{
		Error: errorDetail{
			Message: err.Error(),
			Type:    kind,
		},
	})
}

// noteRefusal records refusals that must not come.
func (e *Engine) noteRefusal(err error) {
	if !errors.Is(err, errForeignContinuation) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Violations.ForeignContinuations++
}

func streamID(c fiber.Ctx) string {
	if id := c.Get(HeaderStreamID); id != "" {
		return strings.Clone(id)
	}
	return uuid.NewString()
}

// namedStream returns the stream ID of the path, or the raw text of one that is not escaped well.
func namedStream(c fiber.Ctx) string {
	raw := strings.Clone(c.Params("id"))
	if id, err := url.PathUnescape(raw); err == nil {
		return id
	}
	return raw
}

func sendJSON(c fiber.Ctx, body []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}
