package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/suspect"
)

const (
	// probeTimeout bounds the probe of a target that lost a response. It allows several round trips within a region.
	// The request whose response was lost waits for the probe, so that other gateways are notified before they can
	// receive the request again.
	probeTimeout = 100 * time.Millisecond
	// probeInterval is the minimum time between two probes of a target, so that a healthy target that loses many
	// responses costs few connections.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the targets whose last probe is kept.
	maxProbes = 4096
	// maxLoggedFlights bounds the requests of one log line about a crash, and maxLoggedParts the prompt parts of each.
	maxLoggedFlights = 32
	maxLoggedParts   = 8
	// suspectsInterval is the time between two updates of the metric of suspects.
	suspectsInterval = time.Second
)

// crashTracker detects crashes of targets and keeps what they are attributed to.
type crashTracker struct {
	process *Process
	blame   *suspect.Blame
	losses  *suspect.Losses
	outbox  blameOutbox
	// broadcast sends the pending reports to the other gateways at once; nil if there are no other gateways.
	broadcast func(now time.Time)

	mu sync.Mutex
	// probes holds the running probe of each target, or its most recent one.
	probes map[waxwingpick.TargetID]*probe
}

// probe is one check whether a target accepts connections.
type probe struct {
	at   time.Time
	done chan struct{}
}

func newCrashTracker(p *Process) *crashTracker {
	return &crashTracker{
		process: p,
		blame:   suspect.NewBlame(string(p.options.Instance)),
		losses:  suspect.NewLosses(),
		probes:  make(map[waxwingpick.TargetID]*probe),
	}
}

// decide returns whether a request may run, and notifies the other gateways of the trial of a convicted candidate.
func (c *crashTracker) decide(now time.Time, candidates []suspect.Candidate, trial uint64) suspect.Decision {
	d := c.blame.Decide(now, candidates, trial)
	if d.Status == suspect.StatusSuspect {
		c.process.log.WithField("candidate", d.Candidate.String()).Info("request runs as the trial of what crashed targets")
		c.publish(now, func(o *blameOutbox) { o.addTrial(now, d.Candidate) })
	}
	return d
}

// completed records a complete response.
func (c *crashTracker) completed(now time.Time, candidates []suspect.Candidate) {
	for _, cleared := range c.blame.Completed(now, candidates) {
		if cleared.Convicted {
			c.logCleared(cleared.Candidate, "response complete")
		}
		c.publish(now, func(o *blameOutbox) { o.addCleared(now, cleared.Candidate) })
	}
}

// publish adds to the pending reports and sends them.
func (c *crashTracker) publish(now time.Time, add func(o *blameOutbox)) {
	add(&c.outbox)
	if c.broadcast != nil {
		c.broadcast(now)
	}
}

// responseLost records that a target's response to a request broke off, and waits for a probe of the target.
func (c *crashTracker) responseLost(t waxwingpick.Target, f suspect.Flight) {
	now := c.process.timers.Now()
	if c.recordLoss(now, t, f) {
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
		c.forgetProbe(t.ID)
	}
}

// ended records that a target's response to a request broke off because the target has ended.
func (c *crashTracker) ended(t waxwingpick.Target, f suspect.Flight) {
	if c.recordLoss(c.process.timers.Now(), t, f) {
		return
	}
	c.unreachable(t)
	c.forgetProbe(t.ID)
}

// recordLoss records the loss of a response, and reports whether its target is known to have crashed.
func (c *crashTracker) recordLoss(now time.Time, t waxwingpick.Target, f suspect.Flight) bool {
	s, crashed := c.losses.ResponseLost(now, t, f).Get()
	if crashed {
		c.observed(now, s)
	}
	return crashed
}

// forgetProbe makes the next loss of a response probe the target again. One that was down may crash again as soon as it has
// started.
func (c *crashTracker) forgetProbe(id waxwingpick.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.probes, id)
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
func (c *crashTracker) observed(now time.Time, d suspect.DetectedCrash) {
	strikes, changes := c.blame.Crashed(now, d)
	c.process.log.WithFields(logrus.Fields{
		"target":   d.Crash.Target,
		"crash":    d.Crash.ID,
		"requests": flightFields(now, d.InFlight),
		"suspects": len(strikes),
	}).Warn("target crashed with requests in flight")
	c.logConvicted(changes, "crash")
	c.publish(now, func(o *blameOutbox) { o.addStrikes(strikes) })
	c.process.options.Metrics.TargetCrash(d.First, len(d.InFlight))
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

// logConvicted logs candidates that were convicted by a crash, a report or the conviction of another gateway.
func (c *crashTracker) logConvicted(changes []suspect.Change, by string) {
	for _, change := range changes {
		c.process.options.Metrics.CrashVerdict(true)
		c.process.log.WithFields(logrus.Fields{
			"candidate": change.Candidate.String(),
			"crashes":   change.Crashes,
			"by":        by,
		}).Warn("requests are refused because of what crashed targets")
	}
}

// logCleared logs a convicted candidate that was cleared.
func (c *crashTracker) logCleared(candidate suspect.Candidate, by string) {
	c.process.options.Metrics.CrashVerdict(false)
	c.process.log.WithFields(logrus.Fields{
		"candidate": candidate.String(),
		"by":        by,
	}).Info("requests are no longer refused because of what crashed targets")
}

// count updates the metric of suspects.
func (c *crashTracker) count(now time.Time) {
	c.process.options.Metrics.CrashSuspects(c.blame.Counts(now))
}
