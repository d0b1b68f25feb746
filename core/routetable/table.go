package routetable

import (
	"maps"
	"slices"
	"strings"
	"time"

	"waxwingpick"
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service waxwingpick.ServiceName
	Weight  int
}

// Route says where the requests of a host and a path go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       waxwingpick.RequestKind
	Shares     []Share
	// Timeout is the longest time that a caller is kept waiting; zero for no bound.
	Timeout time.Duration
	// Aim is the time within which an answer is fully useful.
	Aim time.Duration
	// Silence is how long a caller waits for the next event before it leaves; zero where it does not.
	Silence time.Duration
	// Priority ranks the route, 0 first.
	Priority int
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int
	// Resumable says that a broken stream may go on at another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == waxwingpick.RequestIdempotent || r.Resumable
}

// Pick returns the service for a draw from 0 up to 1.
func (r Route) Pick(draw float64) waxwingpick.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * float64(total)
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
	// MemoryTokens is the KV cache of one engine, TokenBytes the size of one token of it.
	MemoryTokens int
	TokenBytes   int
	// LinkBytesPerSecond is the rate of transfers between engines.
	LinkBytesPerSecond float64
	// HandleLife is how long an engine keeps KV cache that another one is to fetch.
	HandleLife time.Duration
}

// Service describes one service.
type Service struct {
	Name waxwingpick.ServiceName
	// Engines is absent for a plain service.
	Engines waxwingpick.Option[Engines]
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	IdleTimeout time.Duration
}

// Table is one accepted configuration; it does not change.
type Table struct {
	version  int64
	byHost   map[string][]Route
	services map[waxwingpick.ServiceName]Service
	limits   Limits
}

// New returns the table of a configuration.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
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
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by its name.
func (t *Table) Service(name waxwingpick.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of a host with the longest prefix that begins the path.
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

// Services returns the names of all services in order.
func (t *Table) Services() []waxwingpick.ServiceName {
	return slices.Sorted(maps.Keys(t.services))
}
