package waxwingpick

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the engine port; callers match them with errors.Is.
var (
	// ErrEngineUnreachable says that no connection was made, so nothing was sent.
	ErrEngineUnreachable = eris.New("engine unreachable")
	// ErrEngineLost says that the connection broke after something was sent.
	ErrEngineLost = eris.New("engine connection lost")
	// ErrEngineRefused says that the engine refused the request and did not run it.
	ErrEngineRefused = eris.New("engine refused the request")
	// ErrMisdirected says that another target has the address, or the target another role.
	ErrMisdirected = eris.New("target is not the one that was meant")
	// ErrStaleFencingNumber says that the engine holds a newer order.
	ErrStaleFencingNumber = eris.New("stale fencing number")
	// ErrStreamNotFound says that the engine does not know the stream or its offset any more.
	ErrStreamNotFound = eris.New("stream not found")
)

// EngineConfig is what an engine is told to be.
type EngineConfig struct {
	Role    Role   `json:"role"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// EngineOrder tells an engine to take a configuration; Number is the fencing number.
type EngineOrder struct {
	Number int64        `json:"number"`
	Config EngineConfig `json:"config"`
}

// OrderPhase is the progress of the order that an engine holds.
type OrderPhase string

// The phases of an engine order.
const (
	OrderIdle    OrderPhase = "idle"
	OrderRunning OrderPhase = "running"
	OrderDone    OrderPhase = "done"
	OrderFailed  OrderPhase = "failed"
)

// EngineState is what an engine reports about its order.
type EngineState struct {
	// BootID changes whenever the engine process starts anew.
	BootID string       `json:"bootId"`
	Order  EngineOrder  `json:"order"`
	Phase  OrderPhase   `json:"phase"`
	Active EngineConfig `json:"active"`
	// KVAddress is the IP address and port at which other engines fetch KV cache from this one, which then fetches from
	// others as well; empty where the engine offers no direct transfer.
	KVAddress string `json:"kvAddress,omitempty"`
}

// EngineLoad is an engine's own, delayed load report.
type EngineLoad struct {
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	PiecesUsed  int `json:"piecesUsed"`
	PiecesTotal int `json:"piecesTotal"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the engine's measured rates; zero where unknown.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64 `json:"decodeTokensPerSecond"`
	// AgeMillis is the report's age in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// GenerateRequest is one model request in the OpenAI format.
type GenerateRequest struct {
	// StreamID is chosen by the sender and names the stream for resume and cancel.
	StreamID string
	// Path is the API path, such as /v1/chat/completions.
	Path string
	// Body is the JSON request with streaming switched on.
	Body []byte
	// Urgency is the RFC 9218 urgency, 0 (highest) to 7.
	Urgency int
	// KVHandle names imported KV cache to start from; empty for none.
	KVHandle string
	// ByReference asks Prefill to keep the KV cache for another engine to fetch, and to export a reference to it.
	ByReference bool
	// Traceparent is the W3C trace context to pass on; empty for none.
	Traceparent string
}

// StreamEvent is one event of a generated stream.
type StreamEvent struct {
	// Offset is the event's position in the stream, from 0 without gaps.
	Offset int64
	// Data is one OpenAI chunk as JSON; nil for the last event.
	Data []byte
	// Last marks the regular end of the stream.
	Last bool
}

// EventStream yields the events of one generation; Next returns ErrEngineLost when the stream breaks.
type EventStream interface {
	Next() (StreamEvent, error)
	io.Closer
}

// Engine is the port to one model engine.
type Engine interface {
	// State reads the engine's order and active configuration.
	State(ctx context.Context) (EngineState, error)
	// Submit gives the engine an order; it fails with ErrStaleFencingNumber where the engine checks the number.
	Submit(ctx context.Context, order EngineOrder) error
	// Load reads the engine's load report.
	Load(ctx context.Context) (EngineLoad, error)
	// Generate starts a request and streams its events.
	Generate(ctx context.Context, req GenerateRequest) (EventStream, error)
	// Resume streams the events of a known stream from an offset; ErrStreamNotFound when it can't.
	Resume(ctx context.Context, streamID string, offset int64) (EventStream, error)
	// Cancel ends a stream and frees its memory; an unknown stream is no error.
	Cancel(ctx context.Context, streamID string) error
	// Prefill computes the KV cache of a request and exports it.
	Prefill(ctx context.Context, req GenerateRequest) (KVExport, error)
	// ExportKV exports the KV cache of a running stream, for its move to another engine.
	ExportKV(ctx context.Context, streamID string) (KVExport, error)
	// OfferKV lets another engine fetch the KV cache of a running stream, and exports a reference to it.
	OfferKV(ctx context.Context, streamID string) (KVExport, error)
	// ImportKV imports an export, whose data the engine fetches where it holds a reference, and returns a handle for
	// GenerateRequest.
	ImportKV(ctx context.Context, export KVExport) (string, error)
}

// KVExport is exported KV cache, opaque but for its checks.
type KVExport struct {
	// Fingerprint identifies model, version and token prefix; an engine refuses another model's cache.
	Fingerprint string `json:"fingerprint"`
	Tokens      int    `json:"tokens"`
	Data        []byte `json:"data,omitempty"`
	// Reference says where the importing engine fetches the data; nil where Data holds it.
	Reference *KVReference `json:"reference,omitempty"`
}

// KVReference allows another engine one fetch of KV cache that its engine holds.
type KVReference struct {
	// Address is the IP address and port of the exporting engine, as other engines reach it.
	Address string `json:"address"`
	// BootID is that of the exporting engine; after a restart it refuses the reference.
	BootID string `json:"bootId"`
	// Name is the stream ID under which the engine holds the cache.
	Name string `json:"name"`
	// Token is the secret that is spent by the fetch.
	Token string `json:"token"`
	// Bytes and Checksum are the size of the data and its XXH64.
	Bytes    int64  `json:"bytes"`
	Checksum uint64 `json:"checksum,string"`
	// LifetimeMillis is how long the reference can be used from its export on, in milliseconds.
	LifetimeMillis int64 `json:"lifetimeMillis"`
}

// Lifetime returns how long the reference can be used from its export on.
func (r KVReference) Lifetime() time.Duration {
	return time.Duration(r.LifetimeMillis) * time.Millisecond
}

// CacheEvent says that an engine holds or dropped the KV cache of a prefix block.
type CacheEvent struct {
	// Sequence rises by one for each event; a jump is a gap.
	Sequence int64     `json:"sequence"`
	Block    uint64    `json:"block"`
	Held     bool      `json:"held"`
	At       time.Time `json:"at"`
}
