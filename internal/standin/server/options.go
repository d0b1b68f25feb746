package server

import (
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	defaultRestartTime = 20 * time.Millisecond
)

type settings struct {
	addr        string
	timers      waxwingpick.Timers
	restartTime time.Duration
}

// Option configures a Server.
type Option func(*settings) error

// Addr sets the IP address and port to listen on. The default is a free loopback port.
func Addr(addr string) Option {
	return func(s *settings) error {
		s.addr = addr
		return nil
	}
}

// Timers sets the timer service. The default uses the system clock.
func Timers(timers waxwingpick.Timers) Option {
	return func(s *settings) error {
		s.timers = timers
		return nil
	}
}

// RestartTime sets how long a crashed stand-in refuses connections.
func RestartTime(d time.Duration) Option {
	return func(s *settings) error {
		if d <= 0 {
			return eris.Errorf("restart time %s: must be positive", d)
		}
		s.restartTime = d
		return nil
	}
}
