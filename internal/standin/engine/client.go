package engine

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"waxwingpick"
)

var _ waxwingpick.Engine = (*Client)(nil)

// Client calls the engine without HTTP, under the same fault switches.
type Client struct {
	engine *Engine
}

// Client returns a client without HTTP.
func (e *Engine) Client() *Client {
	return &Client{
		engine: e,
	}
}

// State returns the order and the active configuration of the engine.
func (c *Client) State(ctx context.Context) (state waxwingpick.EngineState, err error) {
	err = c.call(ctx, statePath, func(context.Context) error {
		state = c.engine.State()
		return nil
	})
	return state, err
}

// Submit sends an order. It fails with ErrStaleFencingNumber for an old number, where the engine checks it.
func (c *Client) Submit(ctx context.Context, order waxwingpick.EngineOrder) error {
	return c.call(ctx, orderPath, func(context.Context) error {
		return c.engine.Submit(order)
	})
}

// Load returns the load report of the engine.
func (c *Client) Load(ctx context.Context) (load waxwingpick.EngineLoad, err error) {
	err = c.call(ctx, loadPath, func(context.Context) error {
		load = c.engine.Load()
		return nil
	})
	return load, err
}

// Generate starts a request and streams its events.
func (c *Client) Generate(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.EventStream, error) {
	return c.open(ctx, req.Path, 0, func() (*stream, error) {
		s, parsed, err := c.parse(req)
		if err != nil {
			return nil, err
		}
		return s, c.engine.begin(s, parsed)
	})
}

// Resume streams the events of a stream from an offset. It fails with ErrStreamNotFound if the stream cannot be resumed.
func (c *Client) Resume(ctx context.Context, streamID string, offset int64) (waxwingpick.EventStream, error) {
	return c.open(ctx, streamsPath+streamID, int(offset), func() (*stream, error) {
		return c.engine.resume(streamID, int(offset))
	})
}

// Cancel ends a stream or frees held KV cache. An unknown name is not an error.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	return c.call(ctx, streamsPath+streamID, func(context.Context) error {
		c.engine.cancel(streamID)
		return nil
	})
}

// Prefill computes the KV cache of a request and exports it. The engine holds it until Cancel or its expiry.
func (c *Client) Prefill(ctx context.Context, req waxwingpick.GenerateRequest) (export waxwingpick.KVExport, err error) {
	err = c.call(ctx, prefillPath, func(conn context.Context) error {
		s, parsed, err := c.parse(req)
		if err != nil {
			return err
		}
		export, err = c.engine.prefill(conn, s, parsed, req.ByReference)
		return err
	})
	return export, err
}

// ExportKV exports the KV cache of a running stream, for transfer to another engine.
func (c *Client) ExportKV(ctx context.Context, streamID string) (export waxwingpick.KVExport, err error) {
	err = c.call(ctx, exportPath, func(context.Context) error {
		export, err = c.engine.exportStream(streamID, false)
		return err
	})
	return export, err
}

// OfferKV offers the KV cache of a running stream for a fetch by another engine and returns an export with a reference.
func (c *Client) OfferKV(ctx context.Context, streamID string) (export waxwingpick.KVExport, err error) {
	err = c.call(ctx, exportPath, func(context.Context) error {
		export, err = c.engine.exportStream(streamID, true)
		return err
	})
	return export, err
}

// ImportKV imports an export and returns a handle for GenerateRequest. If the response is lost it frees the import.
func (c *Client) ImportKV(ctx context.Context, export waxwingpick.KVExport) (string, error) {
	name := uuid.NewString()
	err := c.call(ctx, importPath, func(context.Context) error {
		_, err := c.engine.importKV(name, export)
		return err
	})
	if errors.Is(err, waxwingpick.ErrEngineLost) {
		c.engine.cancel(name)
	}
	if err != nil {
		return "", err
	}
	return name, nil
}

// parse parses a request. Urgency and handle are taken from req and override those in the body.
func (c *Client) parse(req waxwingpick.GenerateRequest) (*stream, generateRequest, error) {
	if req.Path != chatPath && req.Path != completionsPath {
		return nil, generateRequest{}, fmt.Errorf("%w: path %q", errBadRequest, req.Path)
	}
	s, parsed, err := c.engine.parseRequest(req.StreamID, req.Path == chatPath, req.Body)
	if err != nil {
		return nil, parsed, err
	}
	s.urgency = req.Urgency
	parsed.KVHandle = req.KVHandle
	return s, parsed, nil
}

// call handles a request with a single response.
func (c *Client) call(ctx context.Context, path string, handle func(conn context.Context) error) error {
	conn, end, err := c.engine.server.Connect(ctx)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	defer end()
	return c.runCall(conn, path, func() error {
		return handle(conn)
	})
}

// open handles a request with a streamed response.
func (c *Client) open(ctx context.Context, path string, offset int, handle func() (*stream, error)) (waxwingpick.EventStream, error) {
	conn, end, err := c.engine.server.Connect(ctx)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	var s *stream
	err = c.runCall(conn, path, func() (err error) {
		s, err = handle()
		return err
	})
	if err != nil {
		end()
		return nil, err
	}
	return &eventStream{
		engine: c.engine,
		stream: s,
		conn:   conn,
		end:    end,
		offset: offset,
	}, nil
}

func (c *Client) runCall(conn context.Context, path string, handle func() error) error {
	err := c.engine.server.Call(conn, path, handle)
	if err == nil {
		return nil
	}
	c.engine.recordRefusal(err)
	return fmt.Errorf("call %s: %w", path, portError(err))
}

// portError wraps an error of the stand-in in the error that waxwingpick.Engine specifies for it.
func portError(err error) error {
	switch {
	case errors.Is(err, waxwingpick.ErrEngineLost):
		return err
	case errors.Is(err, errStaleOrder):
		return fmt.Errorf("%w: %w", waxwingpick.ErrStaleFencingNumber, err)
	case errors.Is(err, errUnknownStream):
		return fmt.Errorf("%w: %w", waxwingpick.ErrStreamNotFound, err)
	case errors.Is(err, errRepeatedStream), errors.Is(err, errStreamBroken):
		// An earlier request with this ID may have run.
		return fmt.Errorf("%w: %w", waxwingpick.ErrEngineLost, err)
	}
	return fmt.Errorf("%w: %w", waxwingpick.ErrEngineRefused, err)
}
