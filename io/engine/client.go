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

// Headers of the engine interface.
const (
	headerStreamID    = "X-Stream-Id"
	headerTraceparent = "Traceparent"
	headerContentType = "Content-Type"
	contentTypeJSON   = "application/json"

	handlePrefix = "kv-"
)

var _ waxwingpick.Engine = (*Client)(nil)

// Client sends requests to one engine.
type Client struct {
	cfg  settings
	http *http1.Client
}

// New returns a client for the engine at addr, an IP address and port.
func New(addr string, opts ...Option) (*Client, error) {
	c := &Client{
		cfg: settings{
			callTimeout:   defaultCallTimeout,
			kvTimeout:     defaultKVTimeout,
			streamTimeout: defaultStreamTimeout,
			maxEvent:      defaultMaxEvent,
			maxResponse:   defaultMaxResponse,
		},
	}
	if err := http1.Apply(&c.cfg, opts); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	c.http = http1.New(addr, c.cfg.maxResponse, http1.SingleUse())
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// CacheEvents is a page of the engine's cache events. Events may arrive late, and some may be missing.
type CacheEvents struct {
	BootID string                   `json:"bootId"`
	Events []waxwingpick.CacheEvent `json:"events"`
}

// Models is the response of the OpenAI model list.
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

type importResponse struct {
	Handle string `json:"handle"`
}

// State returns the engine's current order and active configuration.
func (c *Client) State(ctx context.Context) (waxwingpick.EngineState, error) {
	return get[waxwingpick.EngineState](ctx, c, "/admin/state")
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (waxwingpick.EngineLoad, error) {
	return get[waxwingpick.EngineLoad](ctx, c, "/admin/load")
}

// Models returns the names of the models that the engine serves.
func (c *Client) Models(ctx context.Context) (Models, error) {
	return get[Models](ctx, c, "/v1/models")
}

// CacheEvents returns the published cache events whose sequence number is greater than after.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	return get[CacheEvents](ctx, c, "/admin/cacheEvents?after="+strconv.FormatInt(after, 10))
}

// Submit sends an order to the engine. It fails with ErrStaleFencingNumber if the engine checks fencing numbers and
// already holds a newer order.
func (c *Client) Submit(ctx context.Context, order waxwingpick.EngineOrder) error {
	_, err := post[waxwingpick.EngineState](ctx, c, "/admin/order", order, c.cfg.callTimeout)
	return err
}

// Cancel ends a stream or frees KV cache that the engine holds. An unknown name is not an error.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	resp, err := c.http.Send(ctx, http1.Request{
		Method:  http.MethodDelete,
		URI:     streamURI(streamID),
		Timeout: c.cfg.callTimeout,
	})
	if err != nil {
		return fmt.Errorf("cancel stream %s: %w", streamID, err)
	}
	defer resp.Close()
	if resp.Status() == http.StatusNotFound {
		return nil
	}
	if err := checkStatus(resp); err != nil {
		return fmt.Errorf("cancel stream %s: %w", streamID, err)
	}
	return nil
}

// Prefill computes and exports the KV cache of a request. The engine holds the KV cache until Cancel.
func (c *Client) Prefill(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.KVExport, error) {
	var zero waxwingpick.KVExport
	body, err := withAddedFields(req)
	if err != nil {
		return zero, fmt.Errorf("prefill %s: %w", req.StreamID, err)
	}
	export, err := call[waxwingpick.KVExport](ctx, c, http1.Request{
		Method:  http.MethodPost,
		URI:     prefillURI(req),
		Header:  requestHeader(req),
		Body:    body,
		Timeout: c.cfg.kvTimeout,
	})
	if err != nil {
		return zero, fmt.Errorf("prefill %s: %w", req.StreamID, err)
	}
	return export, nil
}

// ExportKV exports the KV cache of a running stream, so that another engine can continue it.
func (c *Client) ExportKV(ctx context.Context, streamID string) (waxwingpick.KVExport, error) {
	return post[waxwingpick.KVExport](ctx, c, "/kv/export", exportRequest{
		StreamID: streamID,
	}, c.cfg.kvTimeout)
}

// OfferKV returns a reference by which another engine can fetch the KV cache of a running stream.
func (c *Client) OfferKV(ctx context.Context, streamID string) (waxwingpick.KVExport, error) {
	return post[waxwingpick.KVExport](ctx, c, "/kv/export", exportRequest{
		StreamID:  streamID,
		Reference: true,
	}, c.cfg.callTimeout)
}

// ImportKV imports an export and returns a handle for GenerateRequest. If the export is a reference, the engine fetches
// the data. The client chooses the name of the handle, so that it can free the handle if the response is lost.
func (c *Client) ImportKV(ctx context.Context, export waxwingpick.KVExport) (string, error) {
	name := handlePrefix + uuid.NewString()
	resp, err := post[importResponse](ctx, c, "/kv/import", export, c.cfg.kvTimeout, http1.Field{
		Name:  headerStreamID,
		Value: name,
	})
	if errors.Is(err, waxwingpick.ErrEngineLost) {
		// If this fails too, the handle ends with its lifetime in the engine.
		_ = c.Cancel(context.WithoutCancel(ctx), name)
	}
	return resp.Handle, err
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
	var zero T
	body, err := json.Marshal(in)
	if err != nil {
		return zero, fmt.Errorf("encode %s: %w", uri, err)
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
		return zero, fmt.Errorf("post %s: %w", uri, err)
	}
	return value, nil
}

// call sends a request and decodes the JSON response.
func call[T any](ctx context.Context, c *Client, r http1.Request) (T, error) {
	var value T
	resp, err := c.http.Send(ctx, r)
	if err != nil {
		return value, err
	}
	defer resp.Close()
	if err := checkStatus(resp); err != nil {
		return value, err
	}
	body, err := resp.Body(c.cfg.maxResponse)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, fmt.Errorf("%w: decode response: %w", waxwingpick.ErrEngineLost, err)
	}
	return value, nil
}
