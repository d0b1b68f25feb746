package virtual

import (
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/core/routing"
	"waxwingpick/core/timer"
)

// Stage is the stage of a request that an attempt runs.
type Stage = routing.Stage

// The stages of a request.
const (
	StageFull    = routing.StageFull
	StagePrefill = routing.StagePrefill
	StageDecode  = routing.StageDecode
)

// transferTokensPerSecond is the rate at which KV cache is transferred between engines.
const transferTokensPerSecond = 200_000

// Request is a request of a caller, with its actual and its estimated size.
type Request struct {
	Serial          int
	Workspace       waxwingpick.WorkspaceID
	Class           waxwingpick.Class
	PromptTokens    int
	OutputTokens    int
	EstimatedOutput int
	Prefix          []uint64
	Arrival         time.Time
	Deadline        time.Time
	Poison          bool
	// TwoStages runs the prefill stage and the decode stage on two engines.
	TwoStages bool
}

// Balancer chooses the targets of an entry.
type Balancer interface {
	// Choose returns the target of an attempt and the number of prompt tokens expected in its cache.
	Choose(now time.Time, r *Request, stage Stage, tried []waxwingpick.TargetID) (Selection, bool)
	// Observe applies the load report of a target.
	Observe(now time.Time, target waxwingpick.TargetID, load waxwingpick.TargetLoad)
	// Ended reports the result of the attempt that the choice was made for.
	Ended(now time.Time, p Selection, result routing.Result)
}

// Selection is the choice of a balancer.
type Selection struct {
	Target waxwingpick.TargetID
	Cached int
	// Choice is set by balancers that use core/routing.
	Choice routing.Choice
}

// Outcome is how a request ended.
type Outcome struct {
	Request *Request
	// Complete says that the caller received the complete response before its deadline.
	Complete bool
	// Refusal is set if the entry gave the request up.
	Refusal *waxwingpick.Refusal
	// CallerLeft says that the caller disconnected, as it does at its deadline.
	CallerLeft bool
	// FirstToken is the time from arrival to the first token, zero if there was none.
	FirstToken time.Duration
	End        time.Time
	Attempts   int
	// Computed counts the tokens that the engines computed for the request in all attempts.
	Computed int
}

// Entry accepts requests and sends them to sidecars.
type Entry struct {
	timers   *timer.Manual
	zone     waxwingpick.AvailabilityZone
	balancer Balancer
	retries  *retry.Policy
	sidecars map[waxwingpick.TargetID]*Sidecar
	// OnFirstToken is called at each first token. It may be nil, as may the other callbacks.
	OnFirstToken func(r *Request)
	// OnToken is called with each interval between two tokens.
	OnToken func(class waxwingpick.Class, gap time.Duration)
	// OnEnded is called with each outcome.
	OnEnded func(o Outcome)
}

// NewEntry returns an entry in an availability zone that sends to the sidecars.
func NewEntry(timers *timer.Manual, zone waxwingpick.AvailabilityZone, b Balancer, retries *retry.Policy, sidecars []*Sidecar) *Entry {
	e := &Entry{
		timers:   timers,
		zone:     zone,
		balancer: b,
		retries:  retries,
		sidecars: make(map[waxwingpick.TargetID]*Sidecar, len(sidecars)),
	}
	for _, s := range sidecars {
		e.sidecars[s.engine.spec.ID] = s
	}
	return e
}

// Observe forwards a load report to the balancer.
func (e *Entry) Observe(target waxwingpick.TargetID, load waxwingpick.TargetLoad) {
	e.balancer.Observe(e.timers.Now(), target, load)
}

// Arrive accepts a request. Its caller disconnects at the deadline, or when the returned function is called.
func (e *Entry) Arrive(r *Request) (disconnect func(now time.Time)) {
	now := e.timers.Now()
	c := &call{
		entry: e,
		outcome: Outcome{
			Request: r,
		},
	}
	if r.TwoStages {
		c.stage = StagePrefill
	}
	c.cancelDeadline = e.timers.After(r.Deadline.Sub(now), c.callerLeft)
	e.retries.Request(now)
	c.try(now)
	return c.callerLeft
}

// call is a request that the entry handles.
type call struct {
	entry          *Entry
	stage          Stage
	attempt        *Attempt
	selection      Selection
	tried          []waxwingpick.TargetID
	outcome        Outcome
	ended          bool
	cancelDeadline func()
}

func (c *call) try(now time.Time) {
	if c.ended {
		return
	}
	selection, ok := c.entry.balancer.Choose(now, c.outcome.Request, c.stage, c.tried)
	if !ok {
		c.giveUp(now, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, time.Second, ""))
		return
	}
	c.outcome.Attempts++
	c.selection = selection
	s := c.entry.sidecars[selection.Target]
	a := &Attempt{
		Request: c.outcome.Request,
		Stage:   c.stage,
		Cached:  selection.Cached,
	}
	hop := c.entry.latency(s)
	a.OnFirst = func(now time.Time) {
		if c.outcome.FirstToken == 0 {
			c.outcome.FirstToken = now.Add(hop).Sub(c.outcome.Request.Arrival)
		}
		if c.entry.OnFirstToken != nil {
			c.entry.timers.After(hop, func(time.Time) {
				c.entry.OnFirstToken(c.outcome.Request)
			})
		}
	}
	a.OnToken = func(gap time.Duration) {
		if c.entry.OnToken != nil {
			c.entry.OnToken(c.outcome.Request.Class, gap)
		}
	}
	a.OnRefused = func(_ time.Time, refusal *waxwingpick.Refusal) {
		c.entry.timers.After(hop, func(now time.Time) {
			c.refused(now, refusal)
		})
	}
	a.OnEnded = func(_ time.Time, ending Ending) {
		c.outcome.Computed += a.Computed()
		c.entry.timers.After(hop, func(now time.Time) {
			c.finished(now, ending)
		})
	}
	c.attempt = a
	c.entry.timers.After(hop, func(time.Time) {
		if !c.ended {
			s.Offer(a)
		}
	})
}

func (c *call) refused(now time.Time, refusal *waxwingpick.Refusal) {
	result := routing.ResultRefused
	switch refusal.Reason {
	case waxwingpick.ReasonLeaving:
		result = routing.ResultLeaving
	case waxwingpick.ReasonTargetUnreachable:
		result = routing.ResultFailed
	}
	c.reportResult(now, result)
	c.retryOrGiveUp(now, refusal)
}

func (c *call) finished(now time.Time, ending Ending) {
	switch ending {
	case EndingComplete:
		c.reportResult(now, routing.ResultResponded)
		c.entry.retries.Responded()
		c.complete(now)
	case EndingCrashed:
		c.reportResult(now, routing.ResultFailed)
		c.retryOrGiveUp(now, waxwingpick.Unknown(waxwingpick.ReasonTargetLost, ""))
	case EndingCancelled:
		c.reportResult(now, routing.ResultCancelled)
	}
}

func (c *call) reportResult(now time.Time, result routing.Result) {
	c.entry.balancer.Ended(now, c.selection, result)
}

func (c *call) complete(now time.Time) {
	if c.ended {
		return
	}
	if c.stage == StagePrefill {
		c.stage = StageDecode
		c.tried = nil
		transfer := float64(c.outcome.Request.PromptTokens) / transferTokensPerSecond
		c.entry.timers.After(time.Duration(transfer*float64(time.Second)), c.try)
		return
	}
	c.outcome.Complete = true
	c.close(now)
}

func (c *call) retryOrGiveUp(now time.Time, refusal *waxwingpick.Refusal) {
	if c.ended {
		return
	}
	if !slices.Contains(c.tried, c.selection.Target) {
		c.tried = append(c.tried, c.selection.Target)
	}
	v := c.entry.retries.Decide(now, retry.Attempt{
		Number:     c.outcome.Attempts,
		Refusal:    refusal,
		Repeatable: true,
		Deadline:   c.outcome.Request.Deadline,
	})
	if !v.Retry {
		c.giveUp(now, refusal)
		return
	}
	c.entry.timers.After(v.Delay, c.try)
}

func (c *call) callerLeft(now time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	c.outcome.CallerLeft = true
	a := c.attempt
	if a != nil && (a.sidecar == nil || a.sidecar.Cancel(a)) {
		c.reportResult(now, routing.ResultCancelled)
	}
	c.close(now)
}

func (c *call) giveUp(now time.Time, refusal *waxwingpick.Refusal) {
	c.outcome.Refusal = refusal
	c.close(now)
}

func (c *call) close(now time.Time) {
	c.ended = true
	c.cancelDeadline()
	c.outcome.End = now
	if c.entry.OnEnded != nil {
		c.entry.OnEnded(c.outcome)
	}
}

// latency returns the one-way network latency between the entry and a sidecar.
func (e *Entry) latency(s *Sidecar) time.Duration {
	if s.engine.spec.Zone == e.zone {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}
