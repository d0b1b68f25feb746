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
	defaultMaxAnswer     = 64 << 20
	maxErrorBytes        = 64 << 10
)

type settings struct {
	callTimeout   time.Duration
	kvTimeout     time.Duration
	streamTimeout time.Duration
	maxEvent      int
	maxAnswer     int
}

// Option sets one property of a client.
type Option func(*settings) error

// CallTimeout bounds the short calls, such as State and Submit.
func CallTimeout(d time.Duration) Option {
	return http1.Positive("call timeout", d, func(s *settings) *time.Duration {
		return &s.callTimeout
	})
}

// KVTimeout bounds Prefill, ExportKV and ImportKV.
func KVTimeout(d time.Duration) Option {
	return http1.Positive("KV timeout", d, func(s *settings) *time.Duration {
		return &s.kvTimeout
	})
}

// StreamTimeout bounds a whole stream.
func StreamTimeout(d time.Duration) Option {
	return http1.Positive("stream timeout", d, func(s *settings) *time.Duration {
		return &s.streamTimeout
	})
}

// MaxEvent bounds one event, in bytes.
func MaxEvent(n int) Option {
	return http1.Positive("largest event", n, func(s *settings) *int {
		return &s.maxEvent
	})
}

// MaxAnswer bounds an answer that is not streamed, such as exported KV cache, in bytes.
func MaxAnswer(n int) Option {
	return http1.Positive("largest answer", n, func(s *settings) *int {
		return &s.maxAnswer
	})
}
