package platform

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"waxwingpick"
	"waxwingpick/internal/standin/server"
)

// LeavingRequest is the body of POST /instances/leaving.
type LeavingRequest struct {
	ID      waxwingpick.InstanceID `json:"id"`
	Leaving bool                   `json:"leaving"`
	LeaveBy time.Time              `json:"leaveBy,omitzero"`
}

// Platform is a running stand-in.
type Platform struct {
	timers waxwingpick.Timers
	server *server.Server

	mu       sync.Mutex
	lag      time.Duration
	versions []version
}

type version struct {
	at        time.Time
	instances []waxwingpick.Instance
}

// New starts a platform with an empty list.
func New(opts ...server.Option) (*Platform, error) {
	p := &Platform{
		versions: []version{{
			at:        time.Time{},
			instances: []waxwingpick.Instance{},
		}},
	}
	s, err := server.New(p.routes, opts...)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p.server = s
	p.timers = s.Timers()
	p.server.Start()
	return p, nil
}

// Addr returns the platform's IP address and port.
func (p *Platform) Addr() string {
	return p.server.Addr()
}

// Close stops the platform and closes its connections.
func (p *Platform) Close() {
	p.server.Close()
}

// Faults returns the HTTP server, which has the fault switches.
func (p *Platform) Faults() *server.Server {
	return p.server
}

// SetLag sets the age of the served list.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// Set replaces the list of instances.
func (p *Platform) Set(instances ...waxwingpick.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addVersion(slices.Clone(instances))
}

// SetLeaving marks an instance as leaving or not. An unknown instance is ignored.
func (p *Platform) SetLeaving(id waxwingpick.InstanceID, leaving bool, by time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := slices.Clone(p.versions[len(p.versions)-1].instances)
	for i := range next {
		if next[i].ID == id {
			next[i].Leaving = leaving
			next[i].LeaveBy = by
		}
	}
	p.addVersion(next)
}

// Served returns the list that is currently served.
func (p *Platform) Served() []waxwingpick.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	return p.versions[0].instances
}

func (p *Platform) addVersion(instances []waxwingpick.Instance) {
	p.prune()
	p.versions = append(p.versions, version{
		at:        p.timers.Now(),
		instances: instances,
	})
}

// prune removes the versions that a newer one replaced at least one lag ago.
func (p *Platform) prune() {
	cutoff := p.timers.Now().Add(-p.lag)
	for len(p.versions) > 1 && !p.versions[1].at.After(cutoff) {
		p.versions = p.versions[1:]
	}
}

func (p *Platform) routes(app *fiber.App) {
	app.Get(listPath, func(c fiber.Ctx) error {
		return c.JSON(p.Served())
	})
	app.Post(listPath, p.postInstances)
	app.Post("/instances/leaving", p.postLeaving)
	server.FaultRoutes(app, p.Faults, nil)
}

func (p *Platform) postInstances(c fiber.Ctx) error {
	var instances []waxwingpick.Instance
	if err := c.Bind().JSON(&instances); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	p.Set(instances...)
	return c.SendStatus(fiber.StatusNoContent)
}

func (p *Platform) postLeaving(c fiber.Ctx) error {
	var req LeavingRequest
	if err := c.Bind().JSON(&req); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	p.SetLeaving(req.ID, req.Leaving, req.LeaveBy)
	return c.SendStatus(fiber.StatusNoContent)
}
