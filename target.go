package waxwingpick

import (
	"context"
	"io"
	"time"
)

// Target is one back end of the platform's list, as the system last heard of it.
type Target struct {
	// ID names one run of the back end; a new run mostly has a new one.
	ID      TargetID
	Service ServiceName
	// Address is its IP address and port, which another target may get later.
	Address string
	Zone    AvailabilityZone
	// Slots is the number of requests that it runs at once.
	Slots int
	Role  Role
	// Models are the models that it serves; empty for a plain service.
	Models  []string
	Leaving bool
	// Born is the start of this run in Unix milliseconds; zero where it does not say.
	Born int64
}

// KVSource names KV cache that a target holds for one other run.
type KVSource struct {
	// Address is that of the target which holds the cache.
	Address string
	Handle  string
}

// Dispatch is one sending of a request to a target.
type Dispatch struct {
	Inbound *Inbound
	Target  Target
	// Remaining is how long the target may work.
	Remaining time.Duration
	// Priority is the rank at the target, 0 first.
	Priority int
	// CopyFrom is the target from whose KV cache this one copies what it lacks of the prompt before it reads the rest; none
	// where it reads all that it lacks.
	CopyFrom Option[Target]
	// Source is the KV cache to start from; none where the target reads the whole prompt.
	Source Option[KVSource]
	// ResumeAfter names the event after which a stream goes on; empty for its beginning.
	ResumeAfter string
	// Stream has the answer's body read by Dispatched.Events.
	Stream bool
}

// Dispatched is a target's answer to one sending.
type Dispatched struct {
	Status  int
	Headers []Header
	Body    []byte
	// Events is the body of a streamed answer; nil for a whole one.
	Events RawEvents
	// NotRun says that the target has not run the request and never will.
	NotRun bool
	// Misdirected says that another target has the address.
	Misdirected bool
	// Calls is the number of requests at the target, running and waiting, where it tells it.
	Calls Option[int]
}

// RawEvent is one event of a streamed answer, as its target sent it.
type RawEvent struct {
	// ID is the event's own; empty where it has none.
	ID    string
	Bytes []byte
}

// RawEvents yields the events of one streamed answer; Next returns io.EOF after its regular end, and ErrEngineLost where
// it broke off.
type RawEvents interface {
	Next() (RawEvent, error)
	io.Closer
}

// Prefilled is KV cache that a target keeps of a prompt.
type Prefilled struct {
	Source KVSource
}

// Dispatcher is the port to all targets. Its errors are ErrEngineUnreachable where nothing was sent, ErrEngineRefused
// where the target did not run the request, with ErrMisdirected where it is not the one that was meant, and ErrEngineLost where it may have run.
type Dispatcher interface {
	// Send sends a request once.
	Send(ctx context.Context, d Dispatch) (Dispatched, error)
	// Prefill has a target read a prompt and keep its KV cache for another one.
	Prefill(ctx context.Context, d Dispatch) (Prefilled, error)
	// Release frees KV cache that nobody will fetch.
	Release(ctx context.Context, source KVSource) error
	// Reach connects to a target; it fails with ErrEngineUnreachable where that takes no connection.
	Reach(ctx context.Context, t Target) error
}
