package waxwingpick

import "context"

// CallRequest is one request to a plain service.
type CallRequest struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// CallResponse is the complete response of a plain service.
type CallResponse struct {
	Status  int
	Headers []Header
	Body    []byte
}

// PlainService is the client interface to one plain service. Its errors are ErrEngineUnreachable (nothing was sent)
// and ErrEngineLost (the request may have run).
type PlainService interface {
	Call(ctx context.Context, req CallRequest) (CallResponse, error)
}
