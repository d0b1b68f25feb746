package openai

import (
	"context"

	"waxwingpick"
)

// Caller is what the headers of a request say about it.
type Caller struct {
	// RequestID is made here and told to the caller with every answer; OwnID is the caller's own, empty where it names none.
	RequestID waxwingpick.RequestID
	OwnID     string
	Workspace waxwingpick.WorkspaceID
	// Priority is the RFC 9218 header and Prefer the RFC 7240 header; empty where absent.
	Priority       string
	Prefer         string
	IdempotencyKey string
	Traceparent    string
}

// ModelCall is one model request of a caller.
type ModelCall struct {
	Caller  Caller
	Request Request
}

// ServiceCall is one request of a caller to a plain service.
type ServiceCall struct {
	Caller  Caller
	Service waxwingpick.ServiceName
	Request waxwingpick.CallRequest
}

// Answer yields the chunks of one whole answer; Next returns io.EOF after the regular end, and Close ends the request.
type Answer interface {
	Next() (Chunk, error)
	Close()
}

// Backend serves the callers' requests; its errors are *waxwingpick.Refusal where the request was given up.
type Backend interface {
	// Generate returns once the first chunk is there or the request is refused.
	Generate(ctx context.Context, call ModelCall) (Answer, error)
	// Call returns the service's whole answer.
	Call(ctx context.Context, call ServiceCall) (waxwingpick.CallResponse, error)
	// Models returns the names of the models served.
	Models() []string
	// Ready returns nil where the entry takes requests.
	Ready() error
}
