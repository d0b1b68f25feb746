package server

import (
	"time"

	"github.com/gofiber/fiber/v3"
)

// switchDelay is the time to send the response to a switch before Down or Crash closes the connection.
const switchDelay = 5 * time.Millisecond

// Millis is a duration in milliseconds.
type Millis int64

// Std returns the duration as a time.Duration.
func (m Millis) Std() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Switch is the body of POST /admin/faults/switch.
type Switch struct {
	// Down refuses connections for this time.
	Down Millis `json:"down"`
	// Crash crashes a stand-in that supports it.
	Crash bool `json:"crash"`
	// Slow delays the handling of each later request. If it is absent, the delay does not change.
	Slow *Millis `json:"slow"`
	// LoseResponses is the number of next responses to lose, for paths with the prefix Path. The requests take effect.
	LoseResponses int `json:"loseAnswers"`
	// LoseRequests is the number of next requests to lose, for paths with the prefix Path. They have no effect.
	LoseRequests int    `json:"loseRequests"`
	Path         string `json:"path"`
}

// FaultRoutes registers the route by which other processes set the fault switches. crash is nil for a stand-in that
// cannot crash.
func FaultRoutes(app *fiber.App, s func() *Server, crash func()) {
	app.Post(FaultPrefix+"/switch", func(c fiber.Ctx) error {
		var sw Switch
		if err := c.Bind().JSON(&sw); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s().applySwitch(sw, crash)
		return c.SendStatus(fiber.StatusNoContent)
	})
}

func (s *Server) applySwitch(sw Switch, crash func()) {
	if sw.Slow != nil {
		s.SetSlow(sw.Slow.Std())
	}
	if sw.LoseResponses > 0 {
		s.LoseResponses(sw.Path, sw.LoseResponses)
	}
	if sw.LoseRequests > 0 {
		s.LoseRequests(sw.Path, sw.LoseRequests)
	}
	if sw.Down > 0 {
		s.afterSwitchDelay(func() {
			s.Down(sw.Down.Std())
		})
	}
	if sw.Crash && crash != nil {
		s.afterSwitchDelay(crash)
	}
}

func (s *Server) afterSwitchDelay(fn func()) {
	s.cfg.timers.After(switchDelay, func(time.Time) {
		fn()
	})
}
