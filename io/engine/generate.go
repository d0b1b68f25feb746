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

// addedFields are the fields that the client adds to the body of a request.
type addedFields struct {
	Priority int    `json:"priority"`
	KVHandle string `json:"kv_handle,omitempty"`
}

// Generate starts a request and returns the stream of its events.
func (c *Client) Generate(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.EventStream, error) {
	body, err := withAddedFields(req)
	if err != nil {
		return nil, fmt.Errorf("generate %s: %w", req.StreamID, err)
	}
	stream, err := c.openStream(ctx, http1.Request{
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

// Resume returns the events of an existing stream from an offset. It fails with ErrStreamNotFound if the engine no
// longer holds the stream or the offset.
func (c *Client) Resume(ctx context.Context, streamID string, offset int64) (waxwingpick.EventStream, error) {
	stream, err := c.openStream(ctx, http1.Request{
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

func (c *Client) openStream(ctx context.Context, r http1.Request, offset int64) (*eventStream, error) {
	resp, err := c.http.Send(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		resp.Close()
		return nil, err
	}
	return newEventStream(resp, offset, c.cfg.maxEvent), nil
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

// withAddedFields appends addedFields to the JSON object in the body. The engine uses the last of two fields with the
// same name, so they override the caller's. The body is not decoded, because it may hold a long prompt.
func withAddedFields(req waxwingpick.GenerateRequest) ([]byte, error) {
	body := bytes.TrimSpace(req.Body)
	if len(body) < 2 || body[0] != '{' || body[len(body)-1] != '}' {
		return nil, fmt.Errorf("body is not a JSON object: %w", waxwingpick.ErrEngineRefused)
	}
	added, err := json.Marshal(addedFields{
		Priority: req.Urgency,
		KVHandle: req.KVHandle,
	})
	if err != nil {
		return nil, fmt.Errorf("encode added fields: %w", err)
	}
	members := bytes.TrimSpace(body[1 : len(body)-1])
	if len(members) == 0 {
		return added, nil
	}
	extended := make([]byte, 0, len(body)+len(added))
	extended = append(extended, '{')
	extended = append(extended, members...)
	extended = append(extended, ',')
	return append(extended, added[1:]...), nil
}

func streamURI(streamID string) string {
	return "/v1/streams/" + url.PathEscape(streamID)
}
