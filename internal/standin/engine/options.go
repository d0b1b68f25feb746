package engine

import (
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/internal/standin/server"
)

const (
	defaultPieces         = 2000
	defaultTokensPerPiece = 16
	defaultMaxRunning     = 64
	defaultPrefillToken   = time.Microsecond
	defaultDecodeToken    = 10 * time.Microsecond
	defaultChangeTime     = time.Millisecond
	defaultRetained       = 4096
	defaultHandleLifetime = 30 * time.Second
	defaultFetchTimeout   = 30 * time.Second
)

// DefaultCrashMarker is the text in a prompt that crashes an engine.
const DefaultCrashMarker = "[[crash]]"

type settings struct {
	server         []server.Option
	boot           waxwingpick.EngineConfig
	pieces         int
	tokensPerPiece int
	maxRunning     int
	prefillToken   time.Duration
	decodeToken    time.Duration
	batchSlowdown  float64
	changeTime     time.Duration
	retained       int
	handleLifetime time.Duration
	directKV       bool
	kvTokenBytes   int
	checksFencing  bool
	crashMarker    string
}

// Option sets one property of an engine.
type Option func(*settings) error

// Addr sets the IP address and port to listen on; a free loopback port is the default.
func Addr(addr string) Option {
	return onServer(server.Addr(addr))
}

// Timers sets the timer service; the system's clock is the default.
func Timers(timers waxwingpick.Timers) Option {
	return onServer(server.Timers(timers))
}

// Boot sets the configuration that the engine has after each start.
func Boot(cfg waxwingpick.EngineConfig) Option {
	return func(s *settings) error {
		s.boot = cfg
		return nil
	}
}

// Memory sets the number of memory pieces and the tokens that each holds.
func Memory(pieces, tokensPerPiece int) Option {
	return func(s *settings) error {
		if pieces <= 0 || tokensPerPiece <= 0 {
			return eris.Errorf("memory of %d pieces of %d tokens: both must be positive", pieces, tokensPerPiece)
		}
		s.pieces = pieces
		s.tokensPerPiece = tokensPerPiece
		return nil
	}
}

// MaxRunning sets the largest batch.
func MaxRunning(n int) Option {
	return func(s *settings) error {
		if n <= 0 {
			return eris.Errorf("batch of %d: must be positive", n)
		}
		s.maxRunning = n
		return nil
	}
}

// Speed sets the time for one prompt token and one output token.
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

// BatchSlowdown sets by which fraction each further request in the batch lengthens an output token.
func BatchSlowdown(fraction float64) Option {
	return func(s *settings) error {
		if fraction < 0 {
			return eris.Errorf("batch slowdown %g: must not be negative", fraction)
		}
		s.batchSlowdown = fraction
		return nil
	}
}

// ChangeTime sets how long an order takes.
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

// RetainedStreams sets how many ended streams can still be resumed.
func RetainedStreams(n int) Option {
	return func(s *settings) error {
		s.retained = n
		return nil
	}
}

// HandleLifetime sets how long unused KV cache is kept before it is freed.
func HandleLifetime(d time.Duration) Option {
	return func(s *settings) error {
		s.handleLifetime = d
		return nil
	}
}

// DirectKV makes the engine offer its KV cache to other engines, and fetch theirs.
func DirectKV() Option {
	return func(s *settings) error {
		s.directKV = true
		return nil
	}
}

// KVTokenBytes sets the least size of exported KV cache for each token, in bytes.
func KVTokenBytes(n int) Option {
	return func(s *settings) error {
		if n < 0 {
			return eris.Errorf("KV cache of %d bytes a token: must not be negative", n)
		}
		s.kvTokenBytes = n
		return nil
	}
}

// ChecksFencing sets whether the engine refuses orders with an old fencing number; it does by default.
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
		pieces:         defaultPieces,
		tokensPerPiece: defaultTokensPerPiece,
		maxRunning:     defaultMaxRunning,
		prefillToken:   defaultPrefillToken,
		decodeToken:    defaultDecodeToken,
		changeTime:     defaultChangeTime,
		retained:       defaultRetained,
		handleLifetime: defaultHandleLifetime,
		checksFencing:  true,
		crashMarker:    DefaultCrashMarker,
	}
}
