package engine

import (
	"time"

	"waxwingpick/internal/http1"
)

const (
	defaultCallTimeout   = 5 * time.Second
	defaultKVTimeout     = 30 * time.Second
	defaultStreamTimeout = time.Hour
	defaultMaxEvent      = 1 << 20
	defaultMaxResponse   = 64 << 20
	maxErrorBytes        = 64 << 10
)

type settings struct {
	callTimeout   time.Duration
	kvTimeout     time.Duration
	streamTimeout time.Duration
	maxEvent      int
	maxResponse   int
}

// Option configures a client.
type Option func(*settings) error

// CallTimeout sets the time-out of short calls, such as State and Submit.
func CallTimeout(d time.Duration) Option {
	return http1.Positive("call timeout", d, func(s *settings) *time.Duration {
		return &s.callTimeout
	})
}

// KVTimeout sets the time-out of Prefill, ExportKV and ImportKV.
func KVTimeout(d time.Duration) Option {
	return http1.Positive("KV timeout", d, func(s *settings) *time.Duration {
		return &s.kvTimeout
	})
}

// StreamTimeout sets the time-out of a stream from its request to its last event.
func StreamTimeout(d time.Duration) Option {
	return http1.Positive("stream timeout", d, func(s *settings) *time.Duration {
		return &s.streamTimeout
	})
}

// MaxEvent sets the maximum size of one event, in bytes.
func MaxEvent(n int) Option {
	return http1.Positive("maximum event size", n, func(s *settings) *int {
		return &s.maxEvent
	})
}

// MaxResponse sets the maximum size of a response that is not streamed, such as exported KV cache, in bytes.
func MaxResponse(n int) Option {
	return http1.Positive("maximum response size", n, func(s *settings) *int {
		return &s.maxResponse
	})
}
