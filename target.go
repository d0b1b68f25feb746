package waxwingpick

import (
	"context"
	"io"
	"time"
)

// Target is a back end, as last reported by the platform's list or by the back end.
type Target struct {
	// ID identifies one incarnation of the back end. A new incarnation usually has a new ID.
	ID      TargetID
	Service ServiceName
	// Address is the IP address and port, which may be reused by another target.
	Address string
	Zone    AvailabilityZone
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	Role  Role
	// Models lists the models that the target serves; empty for a plain service.
	Models  []string
	Leaving bool
	// StartUnixMillis is the start time of this incarnation in Unix milliseconds; zero if unknown.
	StartUnixMillis int64
	// Sequence counts the writes of its list entry by this incarnation.
	Sequence int64
}

// KVSource identifies KV cache that a target holds for one run on another target.
type KVSource struct {
	// Address is that of the target that holds the cache.
	Address string
	Handle  string
}

// Dispatch is a request together with the target it is sent to.
type Dispatch struct {
	Inbound *Inbound
	Target  Target
	// Remaining is the time left for the target to process the request.
	Remaining time.Duration
	// Priority is the scheduling priority at the target; 0 is the highest.
	Priority int
	// Workspace is the workspace on whose behalf the request is sent; none if no key identified one.
	Workspace Option[WorkspaceID]
	// CopyFrom is the target to copy missing KV cache of the prompt from before computing the rest. If it is none, the
	// target computes everything that it lacks.
	CopyFrom Option[Target]
	// Source is the KV cache to start from. If it is none, the target computes the entire prompt.
	Source Option[KVSource]
	// ResumeAfter is the ID of the event after which to continue a stream; empty to start from the beginning.
	ResumeAfter string
	// Stream makes the response body available through Dispatched.Events.
	Stream bool
}

// Dispatched is a target's response to a Dispatch.
type Dispatched struct {
	Status  int
	Headers []Header
	// Framing is how the target stated where the body ends; FramingUnknown for a response without one.
	Framing Framing
	Body    []byte
	// Events is the body of a streamed response; nil for a complete one.
	Events RawEvents
	// NotRun means that the target states that it has not run the request and will not run it.
	NotRun bool
	// Misdirected means that the address belongs to another target.
	Misdirected bool
	// Requests is the number of running and queued requests at the target, if the target reports it.
	Requests Option[int]
	// WorkPercent is how long work takes on the target at the moment, in percent of the usual, if the target reports it.
	WorkPercent Option[int]
	// Statement is what the target states about itself; none if it sent no response or another target did. It is also
	// set if reading the body failed.
	Statement Option[Statement]
}

// RawEvent is one event of a streamed response, as sent by the target.
type RawEvent struct {
	// ID is the event's ID; empty if it has none.
	ID    string
	Bytes []byte
}

// RawEvents iterates over the events of a streamed response. Next returns io.EOF after the normal end of the stream
// and ErrEngineLost if the stream breaks.
type RawEvents interface {
	Next() (RawEvent, error)
	io.Closer
}

// Identity is what a target says of its incarnation. Either field may be none.
type Identity struct {
	ID Option[TargetID]
	// StartUnixMillis is the start time of the incarnation in Unix milliseconds.
	StartUnixMillis Option[int64]
}

// Prefilled is the result of a prefill: KV cache that a target holds for a prompt.
type Prefilled struct {
	Source KVSource
	// WorkPercent is how long work takes on the target at the moment, in percent of the usual, if the target reports it.
	// It is also set if the prefill failed.
	WorkPercent Option[int]
	// Statement is what the target states about itself; none if it sent no response or another target did. It is also
	// set if the prefill failed.
	Statement Option[Statement]
}

// Dispatcher sends requests to targets. Its errors are ErrEngineUnreachable if nothing was sent, ErrEngineRefused if
// the target did not run the request (with ErrMisdirected if the address belongs to another target), and ErrEngineLost
// if the request may have run.
type Dispatcher interface {
	// Send sends a request once, without retries.
	Send(ctx context.Context, d Dispatch) (Dispatched, error)
	// Prefill makes a target compute the KV cache of a prompt and keep it for another target to fetch.
	Prefill(ctx context.Context, d Dispatch) (Prefilled, error)
	// Release frees KV cache that will not be fetched.
	Release(ctx context.Context, source KVSource) error
	// CheckReachable checks that a target accepts connections. It fails with ErrEngineUnreachable if it does not.
	CheckReachable(ctx context.Context, t Target) error
	// Identify asks the address of a target which incarnation it is. healthPath is the path of the health check of the
	// target's service. It fails with ErrEngineUnreachable if the address refuses connections, and with ErrEngineLost if there
	// is no answer that identifies a target.
	Identify(ctx context.Context, t Target, healthPath string) (Identity, error)
}
