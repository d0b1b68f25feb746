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

// Headers, error types and paths of the HTTP interface.
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
	errCancelled      = eris.New("the stream ID has been cancelled")
	errRepeatedStream = eris.New("the stream ID has been used")
	errWrongModel     = eris.New("the model is not loaded")
	errStreamBroken   = eris.New("the stream ended before its regular end")
	errTooLong        = eris.New("the request exceeds the engine's memory")
)

// CacheEvents is the response of GET /admin/cacheEvents.
type CacheEvents struct {
	BootID string                   `json:"bootId"`
	Events []waxwingpick.CacheEvent `json:"events"`
}

type exportRequest struct {
	StreamID  string `json:"streamId"`
	Reference bool   `json:"reference"`
}

type importResponse struct {
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
	s, req, err := e.parseRequest(headerStreamID(c), chat, c.Body())
	if err != nil {
		return e.sendError(c, err)
	}
	if err := e.begin(s, req); err != nil {
		return e.sendError(c, err)
	}
	if status := e.Faults().FailStarted; status != 0 {
		return c.Status(status).JSON(errorBody{
			Error: errorDetail{
				Message: "failed after the start",
				Type:    "unavailable",
			},
		})
	}
	if req.Stream {
		return e.streamEvents(c, s, 0)
	}
	if err := e.await(context.Background(), s); err != nil {
		server.Break(c)
		return nil
	}
	return sendJSON(c, s.response())
}

// begin checks whether the engine can run a request and submits it.
func (e *Engine) begin(s *stream, req generateRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusesWork() {
		return errBusy
	}
	if e.cancelledIDs.Contains(strings.TrimPrefix(s.id, prefillPrefix)) {
		return errCancelled
	}
	if req.Model != "" && req.Model != e.active.Model && req.Model != e.active.Adapter {
		return fmt.Errorf("%w: %s", errWrongModel, req.Model)
	}
	if s.kvBlocks > e.cfg.kvBlocks {
		return errTooLong
	}
	if _, used := e.streams[s.id]; used {
		e.record.Violations.RepeatedStreams++
		return errRepeatedStream
	}
	if req.KVHandle != "" {
		if err := e.useHandle(s, req.KVHandle); err != nil {
			return err
		}
	}
	e.submit(s)
	return nil
}

// useHandle starts a request from imported KV cache and frees the handle. The request counts the memory as its own.
func (e *Engine) useHandle(s *stream, id string) error {
	h, ok := e.handles[id]
	if !ok || h.pending {
		return fmt.Errorf("handle %s: %w", id, errUnknownCache)
	}
	if h.data.Prompt != s.prompt {
		return fmt.Errorf("handle %s: %w", id, errWrongCache)
	}
	s.cached = CountTokens(h.data.Prompt) + h.data.Generated
	h.stopTimer()
	delete(e.handles, id)
	e.usedBlocks -= h.kvBlocks
	return nil
}

// await waits for the end of a stream. It fails unless the stream finished.
func (e *Engine) await(ctx context.Context, s *stream) error {
	for {
		e.mu.Lock()
		phase, changed := s.phase, s.changed
		ended := s.ended()
		e.mu.Unlock()
		if ended && phase != phaseFinished {
			return errStreamBroken
		}
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errStreamBroken
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
	s, err := e.resume(pathStreamID(c), offset)
	if err != nil {
		return e.sendError(c, err)
	}
	return e.streamEvents(c, s, offset)
}

// resume returns a stream that can be read from the offset.
func (e *Engine) resume(id string, offset int) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	// A cut or cancelled stream cannot be completed.
	if !ok || s.phase >= phaseCut || offset < 0 || offset > len(s.tokens) {
		return nil, errUnknownStream
	}
	return s, nil
}

func (e *Engine) deleteStream(c fiber.Ctx) error {
	e.cancel(pathStreamID(c))
	return c.SendStatus(fiber.StatusNoContent)
}

// cancel ends the stream or prefill with the ID and frees KV cache held under it.
// A request with the ID that arrives after the cancel is rejected.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelledIDs.Add(id, struct{}{})
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
		return e.sendError(c, fmt.Errorf("%w: %s", errBadRequest, err.Error()))
	}
	if err := e.Submit(order); err != nil {
		return e.sendError(c, err)
	}
	return c.Status(fiber.StatusAccepted).JSON(e.State())
}

func (e *Engine) postPrefill(c fiber.Ctx) error {
	chat := c.Query("path") != completionsPath
	s, req, err := e.parseRequest(headerStreamID(c), chat, c.Body())
	if err != nil {
		return e.sendError(c, err)
	}
	export, err := e.prefill(context.Background(), s, req, c.Query("reference") == "true")
	if errors.Is(err, errStreamBroken) {
		server.Break(c)
		return nil
	}
	if err != nil {
		return e.sendError(c, err)
	}
	return c.JSON(export)
}

// prefill computes the KV cache of a request, holds it and exports it.
func (e *Engine) prefill(ctx context.Context, s *stream, req generateRequest, byReference bool) (waxwingpick.KVExport, error) {
	id := s.id
	s.id = prefillPrefix + id
	// A prefill generates no token. The one that remains makes the stream end after the prompt.
	s.tokens = s.tokens[:1]
	s.kvBlocks = e.blocksFor(s.promptLen)
	if err := e.begin(s, req); err != nil {
		return waxwingpick.KVExport{}, err
	}
	if err := e.await(ctx, s); err != nil {
		return waxwingpick.KVExport{}, err
	}
	return e.holdPrefill(id, s, byReference)
}

// holdPrefill holds the computed KV cache under the stream ID until it is cancelled or expires.
func (e *Engine) holdPrefill(id string, s *stream, byReference bool) (waxwingpick.KVExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelledIDs.Contains(id) {
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
		return e.sendError(c, fmt.Errorf("%w: %s", errBadRequest, err.Error()))
	}
	export, err := e.exportStream(req.StreamID, req.Reference)
	if err != nil {
		return e.sendError(c, err)
	}
	return c.JSON(export)
}

func (e *Engine) postImport(c fiber.Ctx) error {
	var export waxwingpick.KVExport
	if err := c.Bind().JSON(&export); err != nil {
		return e.sendError(c, fmt.Errorf("%w: %s", errBadRequest, err.Error()))
	}
	id, err := e.importKV(headerStreamID(c), export)
	if err != nil {
		return e.sendError(c, err)
	}
	return c.JSON(importResponse{
		Handle: id,
	})
}

// sendError responds with the status of an error. The request did not run.
func (e *Engine) sendError(c fiber.Ctx, err error) error {
	e.recordRefusal(err)
	status, kind := fiber.StatusBadRequest, "invalid_request_error"
	switch {
	case errors.Is(err, errStaleOrder):
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
			NotRun:  status != fiber.StatusConflict,
		},
	})
}

// recordRefusal counts an error that is a violation.
func (e *Engine) recordRefusal(err error) {
	if !errors.Is(err, errForeignContinuation) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Violations.ForeignContinuations++
}

func headerStreamID(c fiber.Ctx) string {
	if id := c.Get(HeaderStreamID); id != "" {
		return strings.Clone(id)
	}
	return uuid.NewString()
}

// pathStreamID returns the stream ID in the path, or the raw text if it is not correctly escaped.
func pathStreamID(c fiber.Ctx) string {
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
