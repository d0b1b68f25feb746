package server

import (
	"time"

	"github.com/gofiber/fiber/v3"
)

// switchDelay lets the answer to a switch go out before the connection breaks.
const switchDelay = 5 * time.Millisecond

// Millis is a duration in milliseconds.
type Millis int64

// Std returns the duration as a time.Duration.
func (m Millis) Std() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Switch is the body of POST /admin/faults/switch.
type Switch struct {
	// Down cuts the server off for the time.
	Down Millis `json:"down"`
	// Crash ends the process of a stand-in that can crash.
	Crash bool `json:"crash"`
	// Slow delays the handling of each request from now on; absent changes nothing.
	Slow *Millis `json:"slow"`
	// LoseAnswers loses this many answers after their effect, for paths with the prefix Path.
	LoseAnswers int `json:"loseAnswers"`
	// LoseRequests loses this many requests before their effect, for paths with the prefix Path.
	LoseRequests int    `json:"loseRequests"`
	Path         string `json:"path"`
}

// FaultRoutes serves the switches to other processes; crash is nil where the stand-in can't crash.
func FaultRoutes(app *fiber.App, s func() *Server, crash func()) {
	app.Post(FaultPrefix+"/switch", func(c fiber.Ctx) error {
		var sw Switch
		if err := c.Bind().JSON(&sw); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s().throw(sw, crash)
		return c.SendStatus(fiber.StatusNoContent)
	})
}

func (s *Server) throw(sw Switch, crash func()) {
	if sw.Slow != nil {
		s.SetSlow(sw.Slow.Std())
	}
	if sw.LoseAnswers > 0 {
		s.LoseAnswers(sw.Path, sw.LoseAnswers)
	}
	if sw.LoseRequests > 0 {
		s.LoseRequests(sw.Path, sw.LoseRequests)
	}
	if sw.Down > 0 {
		s.later(func() {
			s.Down(sw.Down.Std())
		})
	}
	if sw.Crash && crash != nil {
		s.later(crash)
	}
}

func (s *Server) later(fn func()) {
	s.cfg.timers.After(switchDelay, func(time.Time) {
		fn()
	})
}
