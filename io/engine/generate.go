package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

// addedFields are the fields that the adapter adds to a request's body.
type addedFields struct {
	Priority int    `json:"priority"`
	KVHandle string `json:"kv_handle,omitempty"`
}

// Generate starts a request and streams its events.
func (c *Client) Generate(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.EventStream, error) {
	body, err := withFields(req)
	if err != nil {
		return nil, fmt.Errorf("generate %s: %w", req.StreamID, err)
	}
	stream, err := c.open(ctx, http1.Request{
		Method:  http.MethodPost,
		URI:     req.Path,
		Header:  requestHeader(req),
		Body:    body,
		Timeout: c.cfg.streamTimeout,
		Stream:  true,
	}, 0)
	if err != nil {
		return nil, fmt.Errorf("generate %s: %w", req.StreamID, err)
	}
	return stream, nil
}

// Resume streams the events of a known stream from an offset; ErrStreamNotFound when the engine can't.
func (c *Client) Resume(ctx context.Context, streamID string, offset int64) (waxwingpick.EventStream, error) {
	stream, err := c.open(ctx, http1.Request{
		Method:  http.MethodGet,
		URI:     streamURI(streamID) + "?offset=" + strconv.FormatInt(offset, 10),
		Timeout: c.cfg.streamTimeout,
		Stream:  true,
	}, offset)
	var status *StatusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil, fmt.Errorf("resume %s at %d: %w", streamID, offset, waxwingpick.ErrStreamNotFound)
	}
	if err != nil {
		return nil, fmt.Errorf("resume %s at %d: %w", streamID, offset, err)
	}
	return stream, nil
}

func (c *Client) open(ctx context.Context, r http1.Request, offset int64) (*eventStream, error) {
	a, err := c.http.Send(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(a); err != nil {
		a.Close()
		return nil, err
	}
	return newEventStream(a, offset, c.cfg.maxEvent), nil
}

func requestHeader(req waxwingpick.GenerateRequest) []http1.Field {
	fields := []http1.Field{{
		Name:  headerContentType,
		Value: contentTypeJSON,
	}, {
		Name:  headerStreamID,
		Value: req.StreamID,
	}}
	if req.Traceparent != "" {
		fields = append(fields, http1.Field{
			Name:  headerTraceparent,
			Value: req.Traceparent,
		})
	}
	return fields
}

// withFields adds the adapter's fields at the end of the body's JSON object,
// where they win over fields of the same name from the caller. The body may
// hold a long prompt, so it is not decoded for this.
func withFields(req waxwingpick.GenerateRequest) ([]byte, error) {
	body := bytes.TrimSpace(req.Body)
	if len(body) < 2 || body[0] != '{' || body[len(body)-1] != '}' {
		return nil, fmt.Errorf("body is not a JSON object: %w", waxwingpick.ErrEngineRefused)
	}
	added, err := json.Marshal(addedFields{
		Priority: req.Urgency,
		KVHandle: req.KVHandle,
	})
	if err != nil {
		return nil, fmt.Errorf("encode the added fields: %w", err)
	}
	members := bytes.TrimSpace(body[1 : len(body)-1])
	if len(members) == 0 {
		return added, nil
	}
	whole := make([]byte, 0, len(body)+len(added))
	whole = append(whole, '{')
	whole = append(whole, members...)
	whole = append(whole, ',')
	return append(whole, added[1:]...), nil
}

func streamURI(streamID string) string {
	return "/v1/streams/" + url.PathEscape(streamID)
}
