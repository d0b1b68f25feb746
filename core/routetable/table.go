package routetable

import (
	"maps"
	"slices"
	"strings"
	"time"

	"waxwingpick"
	"waxwingpick/core/workspace"
)

// Share is the weight of a service among the services of a route.
type Share struct {
	Service waxwingpick.ServiceName
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       waxwingpick.RequestKind
	Shares     []Share
	// Timeout is the maximum time that a caller waits; zero means no limit.
	Timeout time.Duration
	// LatencyObjective is the latency objective.
	LatencyObjective time.Duration
	// EventTimeout is the maximum time that a caller waits for the next event before it disconnects; zero means no limit.
	EventTimeout time.Duration
	// PauseObjective is the longest pause between the events of a stream with which it is in time; zero if there is none.
	PauseObjective time.Duration
	// Priority is the scheduling priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of targets that a request is sent to.
	MaxAttempts int
	// Resumable means that another target may continue a broken stream.
	Resumable bool
	// Public means that requests of the route need no key of a workspace.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == waxwingpick.RequestIdempotent || r.Resumable
}

// SelectService returns the service for a random number in [0, 1).
func (r Route) SelectService(random float64) waxwingpick.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := random * float64(total)
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engines describes the model engines of a service.
type Engines struct {
	// MemoryTokens is the KV cache capacity of one engine in tokens, TokenBytes the size of one token in it.
	MemoryTokens int
	TokenBytes   int
	// LinkBytesPerSecond is the transfer rate between engines.
	LinkBytesPerSecond float64
	// HandleLifetime is how long an engine keeps exported KV cache for another engine to fetch.
	HandleLifetime time.Duration
}

// Service describes one service.
type Service struct {
	Name waxwingpick.ServiceName
	// Engines is none for a plain service.
	Engines waxwingpick.Option[Engines]
	// HealthPath is the path of the health check of the service's targets; empty if it is not configured.
	HealthPath string
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	IdleTimeout time.Duration
}

// Table is one accepted configuration. It is immutable.
type Table struct {
	version  int64
	byHost   map[string][]Route
	services map[waxwingpick.ServiceName]Service
	limits   Limits
	// workspaces is nil if the configuration has none.
	workspaces *workspace.Table
}

// Option configures a Table.
type Option func(*Table)

// WithWorkspaces makes the requests of routes that are not public need a key of a workspace.
func WithWorkspaces(w *workspace.Table) Option {
	return func(t *Table) {
		t.workspaces = w
	}
}

// New returns the Table of a configuration.
func New(version int64, routes []Route, services []Service, limits Limits, opts ...Option) *Table {
	t := &Table{
		version:  version,
		byHost:   make(map[string][]Route),
		services: make(map[waxwingpick.ServiceName]Service, len(services)),
		limits:   limits,
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, all := range t.byHost {
		slices.SortStableFunc(all, func(a, b Route) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() Limits { return t.limits }

// Workspaces returns the workspaces of the configuration; false if it has none, so that requests need no key.
func (t *Table) Workspaces() (*workspace.Table, bool) {
	return t.workspaces, t.workspaces != nil
}

// Service returns the service with the given name.
func (t *Table) Service(name waxwingpick.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of the host with the longest matching path prefix.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

func withoutPort(host string) string {
	if strings.HasPrefix(host, "[") {
		return host
	}
	name, _, _ := strings.Cut(host, ":")
	return name
}

// Services returns the names of all services in sorted order.
func (t *Table) Services() []waxwingpick.ServiceName {
	return slices.Sorted(maps.Keys(t.services))
}
