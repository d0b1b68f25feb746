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
	// suspicionKept is how long a crash counts against the requests that were in flight at it: callers that send one again
	// do so within seconds, and a request that was refused for no fault of its own is served again after it.
	suspicionKept = time.Minute
	// reachTime bounds the look whether a target is down that lost an answer: several round trips within a region. The
	// request whose answer was lost waits for it, so that no gateway is sent the request again before it has heard.
	reachTime = 100 * time.Millisecond
	// reachPause is the time for which a target that was there is not looked at again: sound targets that lose many answers
	// cost few connections.
	reachPause = 250 * time.Millisecond
	// mostReached bounds the targets whose last look is remembered.
	mostReached = 4096
	// crashTellings is in how many summaries a crash is told, since messages may be lost.
	crashTellings = 10
	// mostCrashesTold bounds the crashes of one message, mostSuspectsTold the requests of one crash: more than any target runs.
	mostCrashesTold  = 8
	mostSuspectsTold = 128
)

// crashReport is a crash as gateways tell each other of it.
type crashReport struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Target    waxwingpick.TargetID
	AgeMillis int64
	Requests  []uint64
}

// crashes knows the requests that were in flight at crashes of targets.
type crashes struct {
	process *Process
	set     *suspect.Set
	losses  *suspect.Losses
	// push tells the other gateways at once; nil where there are none.
	push func(now time.Time)

	mu sync.Mutex
	// looks holds the looks at targets that are under way, and the newest of those that are over.
	looks map[waxwingpick.TargetID]*look
	told  []toldCrash
}

// look is one look whether a target is down.
type look struct {
	at   time.Time
	over chan struct{}
}

// toldCrash is a crash that others are to hear of some more times.
type toldCrash struct {
	sighting suspect.Sighting
	left     int
}

func newCrashes(p *Process) (*crashes, error) {
	set, err := suspect.NewSet(suspect.WithExpiry(suspicionKept))
	if err != nil {
		return nil, fmt.Errorf("create suspect set: %w", err)
	}
	return &crashes{
		process: p,
		set:     set,
		losses:  suspect.NewLosses(),
		looks:   make(map[waxwingpick.TargetID]*look),
	}, nil
}

// refuses reports whether a request has crashed so many targets that it must not run.
func (c *crashes) refuses(now time.Time, f suspect.Fingerprint) bool {
	return c.set.Status(now, f) == suspect.StatusRefused
}

// lost notes that a target's answer to a request broke off, and waits for a look whether the target is down.
func (c *crashes) lost(t waxwingpick.Target, f suspect.Fingerprint) {
	now := c.process.timers.Now()
	if s, ok := c.losses.Lost(now, t, f).Get(); ok {
		c.saw(now, s)
		return
	}
	one, first := c.look(now, t.ID)
	if !first {
		<-one.over
		return
	}
	defer close(one.over)
	ctx, cancel := context.WithTimeout(c.process.lifecycle, reachTime)
	defer cancel()
	// A target that does not even refuse may be cut off, and its requests run on.
	if err := c.process.options.Targets.Reach(ctx, t); err != nil && ctx.Err() == nil {
		c.gone(t)
	}
}

// look returns the look at a target that is under way or just over, or a new one that the caller is the first to make.
func (c *crashes) look(now time.Time, id waxwingpick.TargetID) (one *look, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one, ok := c.looks[id]; ok && now.Sub(one.at) < reachPause {
		return one, false
	}
	if len(c.looks) >= mostReached {
		clear(c.looks)
	}
	one = &look{
		at:   now,
		over: make(chan struct{}),
	}
	c.looks[id] = one
	return one, true
}

// gone notes that a target takes no connection.
func (c *crashes) gone(t waxwingpick.Target) {
	now := c.process.timers.Now()
	if s, ok := c.losses.Gone(now, t).Get(); ok {
		c.saw(now, s)
	}
}

// saw takes a crash that this process has seen, and tells the other gateways before the requests in flight at it are sent
// again.
func (c *crashes) saw(now time.Time, s suspect.Sighting) {
	c.set.Crashed(now, s.Crash, s.InFlight)
	c.process.log.WithFields(logrus.Fields{
		"target":       s.Crash.Target,
		"crash":        s.Crash.ID,
		"fingerprints": s.InFlight,
	}).Warn("target crashed with requests in flight")
	c.tell(s)
	if c.push != nil {
		c.push(now)
	}
}

// tell has others hear of a crash, or of more requests that were in flight at one.
func (c *crashes) tell(s suspect.Sighting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.told {
		if t := &c.told[i]; t.sighting.Crash.ID == s.Crash.ID {
			t.sighting.InFlight = append(t.sighting.InFlight, s.InFlight...)
			t.left = crashTellings
			return
		}
	}
	c.told = append(c.told, toldCrash{
		sighting: s,
		left:     crashTellings,
	})
}

// toTell reports whether there are crashes that others are to hear of.
func (c *crashes) toTell() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.told) > 0
}

// reports returns the crashes that others are to hear of.
func (c *crashes) reports(now time.Time) []crashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []crashReport
	kept := c.told[:0]
	for _, t := range c.told {
		if len(all) < mostCrashesTold {
			all = append(all, reportOf(now, t.sighting))
			t.left--
		}
		if t.left > 0 {
			kept = append(kept, t)
		}
	}
	c.told = kept
	return all
}

func reportOf(now time.Time, s suspect.Sighting) crashReport {
	r := crashReport{
		ID:        s.Crash.ID,
		Target:    s.Crash.Target,
		AgeMillis: now.Sub(s.Crash.At).Milliseconds(),
	}
	for _, f := range s.InFlight[:min(len(s.InFlight), mostSuspectsTold)] {
		r.Requests = append(r.Requests, uint64(f))
	}
	return r
}

// take takes the crashes that another gateway has seen.
func (c *crashes) take(now time.Time, reports []crashReport) {
	for _, r := range reports[:min(len(reports), mostCrashesTold)] {
		var inFlight []suspect.Fingerprint
		for _, f := range r.Requests[:min(len(r.Requests), mostSuspectsTold)] {
			inFlight = append(inFlight, suspect.Fingerprint(f))
		}
		age := time.Duration(max(0, min(r.AgeMillis, suspicionKept.Milliseconds()))) * time.Millisecond
		c.set.Crashed(now, suspect.Crash{
			ID:     r.ID,
			At:     now.Add(-age),
			Target: r.Target,
		}, inFlight)
	}
}
