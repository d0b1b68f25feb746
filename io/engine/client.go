package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

// Header names of the engine interface.
const (
	headerStreamID    = "X-Stream-Id"
	headerTraceparent = "Traceparent"
	headerContentType = "Content-Type"
	contentTypeJSON   = "application/json"

	handlePrefix = "kv-"
)

var _ waxwingpick.Engine = (*Client)(nil)

// Client speaks to one engine.
type Client struct {
	cfg  settings
	http *http1.Client
}

// New returns a client of the engine at the IP address and port.
func New(addr string, opts ...Option) (*Client, error) {
	c := &Client{
		cfg: settings{
			callTimeout:   defaultCallTimeout,
			kvTimeout:     defaultKVTimeout,
			streamTimeout: defaultStreamTimeout,
			maxEvent:      defaultMaxEvent,
			maxAnswer:     defaultMaxAnswer,
		},
	}
	if err := http1.Apply(&c.cfg, opts); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	c.http = http1.New(addr, c.cfg.maxAnswer)
	return c, nil
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// CacheEvents is a page of an engine's late and incomplete cache events.
type CacheEvents struct {
	BootID string                   `json:"bootId"`
	Events []waxwingpick.CacheEvent `json:"events"`
}

// Models is the answer of the OpenAI model list.
type Models struct {
	Data []Model `json:"data"`
}

// Model is one model that an engine serves.
type Model struct {
	ID string `json:"id"`
}

type exportRequest struct {
	StreamID  string `json:"streamId"`
	Reference bool   `json:"reference,omitempty"`
}

type importAnswer struct {
	Handle string `json:"handle"`
}

// State reads the engine's order and active configuration.
func (c *Client) State(ctx context.Context) (waxwingpick.EngineState, error) {
	return get[waxwingpick.EngineState](ctx, c, "/admin/state")
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (waxwingpick.EngineLoad, error) {
	return get[waxwingpick.EngineLoad](ctx, c, "/admin/load")
}

// Models reads the names of the models that the engine serves.
func (c *Client) Models(ctx context.Context) (Models, error) {
	return get[Models](ctx, c, "/v1/models")
}

// CacheEvents reads the published cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	return get[CacheEvents](ctx, c, "/admin/cacheEvents?after="+strconv.FormatInt(after, 10))
}

// Submit gives the engine an order; it fails with ErrStaleFencingNumber where the engine checks the number.
func (c *Client) Submit(ctx context.Context, order waxwingpick.EngineOrder) error {
	_, err := post[waxwingpick.EngineState](ctx, c, "/admin/order", order, c.cfg.callTimeout)
	return err
}

// Cancel ends a stream or frees held KV cache; an unknown name is no error.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	a, err := c.http.Send(ctx, http1.Request{
		Method:  http.MethodDelete,
		URI:     streamURI(streamID),
		Timeout: c.cfg.callTimeout,
	})
	if err != nil {
		return fmt.Errorf("cancel stream %s: %w", streamID, err)
	}
	defer a.Close()
	if a.Status() == http.StatusNotFound {
		return nil
	}
	if err := checkStatus(a); err != nil {
		return fmt.Errorf("cancel stream %s: %w", streamID, err)
	}
	return nil
}

// Prefill computes the KV cache of a request and exports it; the engine holds it until Cancel.
func (c *Client) Prefill(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.KVExport, error) {
	var none waxwingpick.KVExport
	body, err := withFields(req)
	if err != nil {
		return none, fmt.Errorf("prefill %s: %w", req.StreamID, err)
	}
	export, err := call[waxwingpick.KVExport](ctx, c, http1.Request{
		Method:  http.MethodPost,
		URI:     prefillURI(req),
		Header:  requestHeader(req),
		Body:    body,
		Timeout: c.cfg.kvTimeout,
	})
	if err != nil {
		return none, fmt.Errorf("prefill %s: %w", req.StreamID, err)
	}
	return export, nil
}

// ExportKV exports the KV cache of a running stream, for its move to another engine.
func (c *Client) ExportKV(ctx context.Context, streamID string) (waxwingpick.KVExport, error) {
	return post[waxwingpick.KVExport](ctx, c, "/kv/export", exportRequest{
		StreamID: streamID,
	}, c.cfg.kvTimeout)
}

// OfferKV lets another engine fetch the KV cache of a running stream, and exports a reference to it.
func (c *Client) OfferKV(ctx context.Context, streamID string) (waxwingpick.KVExport, error) {
	return post[waxwingpick.KVExport](ctx, c, "/kv/export", exportRequest{
		StreamID:  streamID,
		Reference: true,
	}, c.cfg.callTimeout)
}

// ImportKV imports an export, whose data the engine fetches where it holds a
// reference, and returns a handle for GenerateRequest. The handle is named here, so that one whose answer is lost can be freed.
func (c *Client) ImportKV(ctx context.Context, export waxwingpick.KVExport) (string, error) {
	name := handlePrefix + uuid.NewString()
	answer, err := post[importAnswer](ctx, c, "/kv/import", export, c.cfg.kvTimeout, http1.Field{
		Name:  headerStreamID,
		Value: name,
	})
	if errors.Is(err, waxwingpick.ErrEngineLost) {
		// The engine's own lifetime of handles is the fallback where this fails too.
		_ = c.Cancel(context.WithoutCancel(ctx), name)
	}
	return answer.Handle, err
}

func prefillURI(req waxwingpick.GenerateRequest) string {
	uri := "/kv/prefill?path=" + url.QueryEscape(req.Path)
	if req.ByReference {
		uri += "&reference=true"
	}
	return uri
}

func get[T any](ctx context.Context, c *Client, uri string) (T, error) {
	value, err := call[T](ctx, c, http1.Request{
		Method:  http.MethodGet,
		URI:     uri,
		Timeout: c.cfg.callTimeout,
	})
	if err != nil {
		return value, fmt.Errorf("get %s: %w", uri, err)
	}
	return value, nil
}

func post[T any](ctx context.Context, c *Client, uri string, in any, timeout time.Duration, header ...http1.Field) (T, error) {
	var none T
	body, err := json.Marshal(in)
	if err != nil {
		return none, fmt.Errorf("encode %s: %w", uri, err)
	}
	value, err := call[T](ctx, c, http1.Request{
		Method: http.MethodPost,
		URI:    uri,
		Header: append(header, http1.Field{
			Name:  headerContentType,
			Value: contentTypeJSON,
		}),
		Body:    body,
		Timeout: timeout,
	})
	if err != nil {
		return none, fmt.Errorf("post %s: %w", uri, err)
	}
	return value, nil
}

// call sends a request and decodes its JSON answer.
func call[T any](ctx context.Context, c *Client, r http1.Request) (T, error) {
	var value T
	a, err := c.http.Send(ctx, r)
	if err != nil {
		return value, err
	}
	defer a.Close()
	if err := checkStatus(a); err != nil {
		return value, err
	}
	body, err := a.Body(c.cfg.maxAnswer)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, fmt.Errorf("%w: decode answer: %w", waxwingpick.ErrEngineLost, err)
	}
	return value, nil
}
