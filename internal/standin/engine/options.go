package engine

import (
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/internal/standin/server"
)

const (
	defaultKVBlocks        = 2000
	defaultTokensPerBlock  = 16
	defaultMaxRunning      = 64
	defaultPrefillToken    = time.Microsecond
	defaultDecodeToken     = 10 * time.Microsecond
	defaultChangeTime      = time.Millisecond
	defaultRetainedStreams = 4096
	defaultHandleLifetime  = 30 * time.Second
	defaultFetchTimeout    = 30 * time.Second
)

// DefaultCrashMarker is the text in a prompt that crashes an engine.
const DefaultCrashMarker = "[[crash]]"

type settings struct {
	server          []server.Option
	boot            waxwingpick.EngineConfig
	kvBlocks        int
	tokensPerBlock  int
	maxRunning      int
	prefillToken    time.Duration
	decodeToken     time.Duration
	batchSlowdown   float64
	changeTime      time.Duration
	retainedStreams int
	handleLifetime  time.Duration
	directKV        bool
	kvTokenBytes    int
	checksFencing   bool
	crashMarker     string
}

// Option configures an Engine.
type Option func(*settings) error

// Addr sets the IP address and port to listen on. The default is a free loopback port.
func Addr(addr string) Option {
	return onServer(server.Addr(addr))
}

// Timers sets the timer service. The default uses the system clock.
func Timers(timers waxwingpick.Timers) Option {
	return onServer(server.Timers(timers))
}

// Boot sets the active configuration after each start.
func Boot(cfg waxwingpick.EngineConfig) Option {
	return func(s *settings) error {
		s.boot = cfg
		return nil
	}
}

// Memory sets the number of KV cache blocks and the number of tokens in a block.
func Memory(kvBlocks, tokensPerBlock int) Option {
	return func(s *settings) error {
		if kvBlocks <= 0 || tokensPerBlock <= 0 {
			return eris.Errorf("memory of %d blocks of %d tokens: both must be positive", kvBlocks, tokensPerBlock)
		}
		s.kvBlocks = kvBlocks
		s.tokensPerBlock = tokensPerBlock
		return nil
	}
}

// MaxRunning sets the maximum batch size.
func MaxRunning(n int) Option {
	return func(s *settings) error {
		if n <= 0 {
			return eris.Errorf("batch of %d: must be positive", n)
		}
		s.maxRunning = n
		return nil
	}
}

// Speed sets the time to compute a prompt token and an output token.
func Speed(prefillToken, decodeToken time.Duration) Option {
	return func(s *settings) error {
		if prefillToken < 0 || decodeToken < 0 {
			return eris.Errorf("token times %s and %s: must not be negative", prefillToken, decodeToken)
		}
		s.prefillToken = prefillToken
		s.decodeToken = decodeToken
		return nil
	}
}

// BatchSlowdown sets the fraction by which each further request in the batch increases the time for an output token.
func BatchSlowdown(fraction float64) Option {
	return func(s *settings) error {
		if fraction < 0 {
			return eris.Errorf("batch slowdown %g: must not be negative", fraction)
		}
		s.batchSlowdown = fraction
		return nil
	}
}

// ChangeTime sets how long the engine takes to apply an order.
func ChangeTime(d time.Duration) Option {
	return func(s *settings) error {
		s.changeTime = d
		return nil
	}
}

// RestartTime sets how long a crashed engine refuses connections.
func RestartTime(d time.Duration) Option {
	return onServer(server.RestartTime(d))
}

// RetainedStreams sets the number of ended streams that are kept for resumption.
func RetainedStreams(n int) Option {
	return func(s *settings) error {
		s.retainedStreams = n
		return nil
	}
}

// HandleLifetime sets how long unused KV cache is held.
func HandleLifetime(d time.Duration) Option {
	return func(s *settings) error {
		s.handleLifetime = d
		return nil
	}
}

// DirectKV enables KV cache transfer by reference: other engines can fetch from this engine, and it from them.
func DirectKV() Option {
	return func(s *settings) error {
		s.directKV = true
		return nil
	}
}

// KVTokenBytes sets the minimum size of exported KV cache per token, in bytes.
func KVTokenBytes(n int) Option {
	return func(s *settings) error {
		if n < 0 {
			return eris.Errorf("KV cache of %d bytes per token: must not be negative", n)
		}
		s.kvTokenBytes = n
		return nil
	}
}

// ChecksFencing sets whether the engine rejects orders with an old fencing number. It does by default.
func ChecksFencing(checks bool) Option {
	return func(s *settings) error {
		s.checksFencing = checks
		return nil
	}
}

// CrashMarker sets the text in a prompt that crashes the engine.
func CrashMarker(marker string) Option {
	return func(s *settings) error {
		s.crashMarker = marker
		return nil
	}
}

func onServer(opt server.Option) Option {
	return func(s *settings) error {
		s.server = append(s.server, opt)
		return nil
	}
}

func defaults() settings {
	return settings{
		boot: waxwingpick.EngineConfig{
			Role:    waxwingpick.RoleMixed,
			Model:   "standin",
			Adapter: "",
			Version: "1",
		},
		kvBlocks:        defaultKVBlocks,
		tokensPerBlock:  defaultTokensPerBlock,
		maxRunning:      defaultMaxRunning,
		prefillToken:    defaultPrefillToken,
		decodeToken:     defaultDecodeToken,
		changeTime:      defaultChangeTime,
		retainedStreams: defaultRetainedStreams,
		handleLifetime:  defaultHandleLifetime,
		checksFencing:   true,
		crashMarker:     DefaultCrashMarker,
	}
}
