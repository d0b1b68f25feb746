package waxwingpick

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Errors returned by engines; match them with errors.Is.
var (
	// ErrEngineUnreachable means that no connection was established, so nothing was sent.
	ErrEngineUnreachable = eris.New("engine unreachable")
	// ErrEngineLost means that the connection broke after part of the request was sent.
	ErrEngineLost = eris.New("engine connection lost")
	// ErrEventTruncated means that a stream ended inside an event.
	ErrEventTruncated = eris.New("stream ended inside an event")
	// ErrEndUnproven means that a response ended with its connection, and that its target is not known to have survived that.
	ErrEndUnproven = eris.New("end of the response is not proven")
	// ErrEngineFailed means that the engine responded with a failure, after which the request may have run. It comes with
	// ErrEngineLost.
	ErrEngineFailed = eris.New("engine responded with a failure")
	// ErrEngineRefused means that the engine rejected the request without running it.
	ErrEngineRefused = eris.New("engine refused the request")
	// ErrMisdirected means that the address belongs to another target, or that the target has another role.
	ErrMisdirected = eris.New("address belongs to another target or role")
	// ErrStaleFencingNumber means that the engine already holds an order with a higher fencing number.
	ErrStaleFencingNumber = eris.New("stale fencing number")
	// ErrStreamNotFound means that the engine no longer holds the stream or the requested offset.
	ErrStreamNotFound = eris.New("stream not found")
)

// EngineConfig is the configuration of an engine.
type EngineConfig struct {
	Role    Role   `json:"role"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// EngineOrder is a request to an engine to apply a configuration. Number is its fencing number.
type EngineOrder struct {
	Number int64        `json:"number"`
	Config EngineConfig `json:"config"`
}

// OrderPhase is the progress of an engine's current order.
type OrderPhase string

// The phases of an engine order.
const (
	OrderIdle    OrderPhase = "idle"
	OrderRunning OrderPhase = "running"
	OrderDone    OrderPhase = "done"
	OrderFailed  OrderPhase = "failed"
)

// EngineState is an engine's report on its current order.
type EngineState struct {
	// BootID changes whenever the engine process restarts.
	BootID string       `json:"bootId"`
	Order  EngineOrder  `json:"order"`
	Phase  OrderPhase   `json:"phase"`
	Active EngineConfig `json:"active"`
	// KVAddress is the IP address and port that serves KV cache to other engines. An engine that has one can also fetch
	// from others. It is empty if the engine does not support direct transfer.
	KVAddress string `json:"kvAddress,omitempty"`
}

// EngineLoad is a load report from an engine, which may be out of date by AgeMillis.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVBlocksUsed and KVBlocksTotal count blocks of KV cache.
	KVBlocksUsed  int `json:"piecesUsed"`
	KVBlocksTotal int `json:"piecesTotal"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are measured by the engine; zero means unknown.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64 `json:"decodeTokensPerSecond"`
	// AgeMillis is the age of the report.
	AgeMillis int64 `json:"ageMillis"`
}

// GenerateRequest is one model request in the OpenAI format.
type GenerateRequest struct {
	// StreamID is chosen by the sender and identifies the stream for Resume and Cancel.
	StreamID string
	// Path is the API path, such as /v1/chat/completions.
	Path string
	// Body is the JSON request with streaming enabled.
	Body []byte
	// Urgency is the RFC 9218 urgency, 0 (highest) to 7.
	Urgency int
	// KVHandle identifies imported KV cache to start from; empty means none.
	KVHandle string
	// ByReference makes Prefill keep the KV cache on the engine and export a reference from which another engine fetches
	// it.
	ByReference bool
	// Traceparent is the W3C trace context to propagate; empty means none.
	Traceparent string
}

// StreamEvent is one event of a generated stream.
type StreamEvent struct {
	// Offset is the event's position in the stream, starting at 0 without gaps.
	Offset int64
	// Data is one OpenAI chunk as JSON; nil for the last event.
	Data []byte
	// Last marks the normal end of the stream.
	Last bool
}

// EventStream iterates over the events of one generation. Next returns ErrEngineLost if the stream breaks.
type EventStream interface {
	Next() (StreamEvent, error)
	io.Closer
}

// Engine is the client interface to one model engine.
type Engine interface {
	// State returns the engine's order and active configuration.
	State(ctx context.Context) (EngineState, error)
	// Submit sends an order. It returns ErrStaleFencingNumber if the engine checks fencing numbers and holds a higher one.
	Submit(ctx context.Context, order EngineOrder) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (EngineLoad, error)
	// Generate runs a request and streams its events.
	Generate(ctx context.Context, req GenerateRequest) (EventStream, error)
	// Resume streams the events of an existing stream from an offset. It returns ErrStreamNotFound if the engine no longer
	// holds them.
	Resume(ctx context.Context, streamID string, offset int64) (EventStream, error)
	// Cancel ends a stream and frees its memory. Cancelling an unknown stream is not an error.
	Cancel(ctx context.Context, streamID string) error
	// Prefill computes the KV cache of a request and exports it.
	Prefill(ctx context.Context, req GenerateRequest) (KVExport, error)
	// ExportKV exports the KV cache of a running stream so that another engine can continue it.
	ExportKV(ctx context.Context, streamID string) (KVExport, error)
	// OfferKV makes the KV cache of a running stream available to another engine and exports a reference to it.
	OfferKV(ctx context.Context, streamID string) (KVExport, error)
	// ImportKV imports KV cache and returns a handle for GenerateRequest. If export holds a reference, the engine fetches
	// the data from the exporting engine.
	ImportKV(ctx context.Context, export KVExport) (string, error)
}

// KVExport is exported KV cache. Its data is opaque.
type KVExport struct {
	// Fingerprint identifies model, version and token prefix. An engine rejects cache of another model.
	Fingerprint string `json:"fingerprint"`
	Tokens      int    `json:"tokens"`
	Data        []byte `json:"data,omitempty"`
	// Reference locates the data on the exporting engine; nil if Data holds it.
	Reference *KVReference `json:"reference,omitempty"`
}

// KVReference authorizes another engine to fetch KV cache once from the engine that holds it.
type KVReference struct {
	// Address is the IP address and port of the exporting engine, reachable from other engines.
	Address string `json:"address"`
	// BootID is the exporting engine's. The reference is invalid after that engine restarts.
	BootID string `json:"bootId"`
	// Name is the stream ID that the cache is stored under.
	Name string `json:"name"`
	// Token is a single-use secret.
	Token string `json:"token"`
	// Bytes and Checksum are the size and the XXH64 of the data.
	Bytes    int64  `json:"bytes"`
	Checksum uint64 `json:"checksum,string"`
	// LifetimeMillis is the validity period of the reference, counted from its export.
	LifetimeMillis int64 `json:"lifetimeMillis"`
}

// Lifetime returns the validity period of the reference, counted from its export.
func (r KVReference) Lifetime() time.Duration {
	return time.Duration(r.LifetimeMillis) * time.Millisecond
}

// CacheEvent reports that an engine stored or evicted the KV cache of a prefix block.
type CacheEvent struct {
	// Sequence increases by one with each event; a larger step means that events were lost.
	Sequence int64     `json:"sequence"`
	Block    uint64    `json:"block"`
	Held     bool      `json:"held"`
	At       time.Time `json:"at"`
}
