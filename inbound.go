package waxwingpick

import (
	"context"
	"io"
	"time"
)

// PromptPart is one part of a prompt, which requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt is what is known of a model request without reading its body.
type Prompt struct {
	Model string
	// Parts make up the prompt in order; the last one is the request's own or that of its session.
	Parts []PromptPart
	// Tokens is the length of the prompt, MaxOutput bounds that of the answer.
	Tokens    int
	MaxOutput int
}

// Inbound is a caller's request as an edge received it; its body is opaque.
type Inbound struct {
	ID     RequestID
	Method string
	Host   string
	// URI is the path with its query, exactly as the caller sent it; Path is the path alone.
	URI  string
	Path string
	// Headers are the fields to pass on: no connection's own ones and none that the system sets.
	Headers []Header
	Body    []byte
	Arrived time.Time
	// Patience is how long the caller waits from its arrival on; zero where it does not say.
	Patience time.Duration
	// Prompt is set for model requests.
	Prompt Prompt
	// ResumeAfter names the last event that the caller has of a stream that broke; empty for a new request.
	ResumeAfter string
}

// Outbound is the answer for a caller.
type Outbound struct {
	Status  int
	Headers []Header
	Body    []byte
	// Events is the rest of a streamed answer, nil for a whole one; a read that fails has the answer cut visibly.
	Events io.ReadCloser
	// RetryAfter is when a refused caller is best to come back; zero where the answer says nothing of it.
	RetryAfter time.Duration
}

// Gateway is the port that serves the requests of an edge.
type Gateway interface {
	// Serve answers a request; ctx ends when the caller leaves. It always returns an answer, if only a refusal.
	Serve(ctx context.Context, in *Inbound) Outbound
	// Ready returns nil where new connections may come.
	Ready() error
	// Stopping reports whether connections are to end with their next answer.
	Stopping() bool
}
