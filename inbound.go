package waxwingpick

import (
	"context"
	"io"
	"time"
)

// PromptPart is a segment of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt describes a model request without its body.
type Prompt struct {
	Model string
	// Parts lists the segments in order. The last one belongs to this request or its session.
	Parts []PromptPart
	// Tokens is the length of the prompt. MaxOutput is the maximum length of the output in tokens.
	Tokens    int
	MaxOutput int
}

// PartIDs returns the IDs of the parts in order.
func (p Prompt) PartIDs() []string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// Inbound is a caller's request as received by a listener. Its body is opaque.
type Inbound struct {
	ID     RequestID
	Method string
	Host   string
	// URI is the path and query exactly as sent by the caller. Path is the path alone.
	URI  string
	Path string
	// Headers are the fields to forward, without hop-by-hop fields and those that the system sets.
	Headers []Header
	// Authorization holds the values of the field of that name, which Headers does not contain.
	Authorization []string
	Body          []byte
	Arrived       time.Time
	// Timeout is the caller's time-out, counted from Arrived; zero if it sent none.
	Timeout time.Duration
	// Prompt is set for model requests.
	Prompt Prompt
	// ResumeAfter is the ID of the last event that the caller received of a broken stream; empty for a new request.
	ResumeAfter string
	// Memory accounts for what is held for the request until its response is written; nil for no account.
	Memory MemoryHold
}

// Outbound is the response to a caller.
type Outbound struct {
	Status  int
	Headers []Header
	Body    []byte
	// Events is the rest of a streamed response, and nil for a complete one. If a read fails, the response is aborted so
	// that the caller can detect the truncation.
	Events io.ReadCloser
	// RetryAfter is the delay after which a rejected caller should retry; zero if the response states none.
	RetryAfter time.Duration
}

// Gateway handles the requests that a listener receives.
type Gateway interface {
	// Serve handles a request and always returns a response, possibly a rejection. ctx ends when the caller disconnects.
	Serve(ctx context.Context, in *Inbound) Outbound
	// Ready returns nil if the gateway accepts new connections.
	Ready() error
	// Stopping reports whether connections should be closed after their next response.
	Stopping() bool
}
