package engine

import (
	"fmt"

	"github.com/gofiber/fiber/v3"

	"waxwingpick/internal/standin/server"
)

// faultRoutes registers the routes by which other processes read and set the fault switches.
func (e *Engine) faultRoutes(app *fiber.App) {
	app.Get(server.FaultPrefix, func(c fiber.Ctx) error {
		return c.JSON(e.Faults())
	})
	app.Put(server.FaultPrefix, func(c fiber.Ctx) error {
		var f Faults
		if err := c.Bind().JSON(&f); err != nil {
			return e.sendError(c, fmt.Errorf("%w: %s", errBadRequest, err.Error()))
		}
		e.SetFaults(f)
		return c.SendStatus(fiber.StatusNoContent)
	})
	server.FaultRoutes(app, func() *server.Server {
		return e.server
	}, e.Crash)
}
