package service

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"waxwingpick"
)

var _ waxwingpick.PlainService = (*Client)(nil)

// Client calls the service without HTTP, under the same fault switches.
type Client struct {
	service *Service
}

// Client returns a client without HTTP.
func (s *Service) Client() *Client {
	return &Client{
		service: s,
	}
}

// Call runs a request and returns the response.
func (c *Client) Call(ctx context.Context, req waxwingpick.CallRequest) (waxwingpick.CallResponse, error) {
	var none waxwingpick.CallResponse
	conn, end, err := c.service.server.Connect(ctx)
	if err != nil {
		return none, fmt.Errorf("call %s %s: %w", req.Method, req.Path, err)
	}
	defer end()
	a := result{
		status: http.StatusNotFound,
	}
	err = c.service.server.Call(conn, req.Path, func() error {
		if !strings.HasPrefix(req.Path, bookingsPath) {
			return nil
		}
		a, _ = c.service.handle(Run{
			Method: req.Method,
			Path:   req.Path,
			Key:    headerOf(req.Headers, keyHeader),
			Body:   string(req.Body),
		})
		return nil
	})
	if err != nil {
		return none, fmt.Errorf("call %s %s: %w", req.Method, req.Path, err)
	}
	return a.response()
}

func (a result) response() (waxwingpick.CallResponse, error) {
	resp := waxwingpick.CallResponse{
		Status: a.status,
		Body:   []byte(textNotFound),
	}
	if a.booking.ID == "" {
		return resp, nil
	}
	var err error
	if resp.Body, err = json.Marshal(a.booking); err != nil {
		return resp, fmt.Errorf("encode booking: %w", err)
	}
	if a.stored {
		resp.Headers = []waxwingpick.Header{{
			Name:  bookingHeader,
			Value: a.booking.ID,
		}}
	}
	return resp, nil
}

func headerOf(headers []waxwingpick.Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}
