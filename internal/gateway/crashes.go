package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/suspect"
)

const (
	// suspicionTTL is how long a crash counts against the requests that were in flight. Callers repeat a request within
	// seconds. A request that was quarantined by mistake is served again after this time.
	suspicionTTL = time.Minute
	// probeTimeout bounds the probe of a target that lost a response. It allows several round trips within a region.
	// The request whose response was lost waits for the probe, so that other gateways are notified before they can
	// receive the request again.
	probeTimeout = 100 * time.Millisecond
	// probeInterval is the minimum time between two probes of a target, so that a healthy target that loses many
	// responses costs few connections.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the targets whose last probe is kept.
	maxProbes = 4096
	// crashReportSends is the number of messages in which each crash is repeated, since messages may be lost.
	crashReportSends = 10
	// maxCrashesPerMessage bounds the crashes of one message, and maxRequestsPerCrash the requests of one crash, which
	// is more than any target runs at once.
	maxCrashesPerMessage = 8
	maxRequestsPerCrash  = 128
	// maxLoggedFlights bounds the requests of one log line about a crash, and maxLoggedParts the prompt parts of each.
	maxLoggedFlights = 32
	maxLoggedParts   = 8
)

// crashReport is the encoding of a crash in a message between gateways.
type crashReport struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Target    waxwingpick.TargetID
	AgeMillis int64
	Requests  []uint64
}

// crashTracker tracks the requests that were in flight when targets crashed.
type crashTracker struct {
	process *Process
	set     *suspect.Set
	losses  *suspect.Losses
	// broadcast sends the pending crashes to the other gateways at once; nil if there are no other gateways.
	broadcast func(now time.Time)

	mu sync.Mutex
	// probes holds the running probe of each target, or its most recent one.
	probes  map[waxwingpick.TargetID]*probe
	pending []pendingCrash
}

// probe is one check whether a target accepts connections.
type probe struct {
	at   time.Time
	done chan struct{}
}

// pendingCrash is a crash that still has to be sent to the other gateways.
type pendingCrash struct {
	sighting  suspect.DetectedCrash
	sendsLeft int
}

func newCrashTracker(p *Process) (*crashTracker, error) {
	set, err := suspect.NewSet(suspect.WithExpiry(suspicionTTL))
	if err != nil {
		return nil, fmt.Errorf("create suspect set: %w", err)
	}
	return &crashTracker{
		process: p,
		set:     set,
		losses:  suspect.NewLosses(),
		probes:  make(map[waxwingpick.TargetID]*probe),
	}, nil
}

// quarantines reports whether a request crashed so many targets that it must not run again.
func (c *crashTracker) quarantines(now time.Time, f suspect.Fingerprint) bool {
	return c.set.Status(now, f) == suspect.StatusRefused
}

// responseLost records that a target's response to a request broke off, and waits for a probe of the target.
func (c *crashTracker) responseLost(t waxwingpick.Target, f suspect.Flight) {
	now := c.process.timers.Now()
	if s, ok := c.losses.ResponseLost(now, t, f).Get(); ok {
		c.observed(now, s)
		return
	}
	p, first := c.probe(now, t.ID)
	if !first {
		<-p.done
		return
	}
	defer close(p.done)
	ctx, cancel := context.WithTimeout(c.process.lifecycle, probeTimeout)
	defer cancel()
	// A probe that times out does not show a crash. The target may be unreachable only from this gateway, and its requests
	// may still run.
	if err := c.process.options.Targets.CheckReachable(ctx, t); err != nil && ctx.Err() == nil {
		c.unreachable(t)
	}
}

// probe returns the target's running or recent probe, or a new one; first reports whether the caller has to perform it.
func (c *crashTracker) probe(now time.Time, id waxwingpick.TargetID) (p *probe, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.probes[id]; ok && now.Sub(p.at) < probeInterval {
		return p, false
	}
	if len(c.probes) >= maxProbes {
		clear(c.probes)
	}
	p = &probe{
		at:   now,
		done: make(chan struct{}),
	}
	c.probes[id] = p
	return p, true
}

// unreachable records that a target accepts no connection.
func (c *crashTracker) unreachable(t waxwingpick.Target) {
	now := c.process.timers.Now()
	if s, ok := c.losses.TargetDown(now, t).Get(); ok {
		c.observed(now, s)
	}
}

// observed records a crash that this process detected, and notifies the other gateways before the requests in flight
// are retried.
func (c *crashTracker) observed(now time.Time, s suspect.DetectedCrash) {
	c.set.Crashed(now, s.Crash, s.Fingerprints())
	first := c.enqueue(s)
	c.process.options.Metrics.TargetCrash(first, len(s.InFlight))
	c.process.log.WithFields(logrus.Fields{
		"target":   s.Crash.Target,
		"crash":    s.Crash.ID,
		"requests": flightFields(now, s.InFlight),
	}).Warn("target crashed with requests in flight")
	if c.broadcast != nil {
		c.broadcast(now)
	}
}

// flightFields returns the log fields of requests in flight at a crash, of at most maxLoggedFlights.
func flightFields(now time.Time, inFlight []suspect.Flight) []logrus.Fields {
	all := make([]logrus.Fields, 0, min(len(inFlight), maxLoggedFlights))
	for _, f := range inFlight[:min(len(inFlight), maxLoggedFlights)] {
		fields := logrus.Fields{
			"request":     f.ID,
			"fingerprint": f.Fingerprint,
			"sentMillis":  now.Sub(f.SentAt).Milliseconds(),
		}
		if len(f.Parts) > 0 {
			fields["parts"] = f.Parts[:min(len(f.Parts), maxLoggedParts)]
		}
		if began, ok := f.BeganAt.Get(); ok {
			fields["beganMillis"] = now.Sub(began).Milliseconds()
		}
		all = append(all, fields)
	}
	return all
}

// enqueue adds a crash to the next messages, or adds further requests in flight to a crash that was added before. It
// returns false in the second case.
func (c *crashTracker) enqueue(s suspect.DetectedCrash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.pending {
		if t := &c.pending[i]; t.sighting.Crash.ID == s.Crash.ID {
			t.sighting.InFlight = append(t.sighting.InFlight, s.InFlight...)
			t.sendsLeft = crashReportSends
			return false
		}
	}
	c.pending = append(c.pending, pendingCrash{
		sighting:  s,
		sendsLeft: crashReportSends,
	})
	return true
}

// hasPending reports whether there are crashes to send to other gateways.
func (c *crashTracker) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// reports returns the crashes for the next message and counts them as sent.
func (c *crashTracker) reports(now time.Time) []crashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []crashReport
	remaining := c.pending[:0]
	for _, t := range c.pending {
		if len(all) < maxCrashesPerMessage {
			all = append(all, reportOf(now, t.sighting))
			t.sendsLeft--
		}
		if t.sendsLeft > 0 {
			remaining = append(remaining, t)
		}
	}
	c.pending = remaining
	return all
}

func reportOf(now time.Time, s suspect.DetectedCrash) crashReport {
	r := crashReport{
		ID:        s.Crash.ID,
		Target:    s.Crash.Target,
		AgeMillis: now.Sub(s.Crash.At).Milliseconds(),
	}
	for _, f := range s.InFlight[:min(len(s.InFlight), maxRequestsPerCrash)] {
		r.Requests = append(r.Requests, uint64(f.Fingerprint))
	}
	return r
}

// apply records the crashes that another gateway detected.
func (c *crashTracker) apply(now time.Time, reports []crashReport) {
	for _, r := range reports[:min(len(reports), maxCrashesPerMessage)] {
		var inFlight []suspect.Fingerprint
		for _, f := range r.Requests[:min(len(r.Requests), maxRequestsPerCrash)] {
			inFlight = append(inFlight, suspect.Fingerprint(f))
		}
		age := time.Duration(max(0, min(r.AgeMillis, suspicionTTL.Milliseconds()))) * time.Millisecond
		c.set.Crashed(now, suspect.Crash{
			ID:     r.ID,
			At:     now.Add(-age),
			Target: r.Target,
		}, inFlight)
	}
}
