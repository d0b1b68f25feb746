package virtual

import (
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/core/routing"
	"waxwingpick/core/timer"
)

// Leg is the part of a request that an attempt runs.
type Leg = routing.Leg

// The legs of a request.
const (
	LegWhole   = routing.LegWhole
	LegPrefill = routing.LegPrefill
	LegDecode  = routing.LegDecode
)

// transferTokensPerSecond is the rate at which KV cache moves between engines.
const transferTokensPerSecond = 200_000

// Request is one caller's request with its true and its estimated size.
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
	// TwoLegs sends the prompt to a prefill engine and the rest to a decode engine.
	TwoLegs bool
}

// Balancer chooses targets at one entry.
type Balancer interface {
	// Choose returns the target of an attempt and the prompt tokens that it is expected to hold.
	Choose(now time.Time, r *Request, leg Leg, tried []waxwingpick.TargetID) (Pick, bool)
	// Observe takes a target's load report.
	Observe(now time.Time, target waxwingpick.TargetID, load waxwingpick.TargetLoad)
	// Ended says how the attempt at the pick ended.
	Ended(now time.Time, p Pick, result routing.Result)
}

// Pick is a balancer's choice.
type Pick struct {
	Target waxwingpick.TargetID
	Cached int
	// Choice is set by balancers that are built on core/routing.
	Choice routing.Choice
}

// Outcome is what became of a request.
type Outcome struct {
	Request *Request
	// Whole says that the caller got the whole answer before its deadline.
	Whole bool
	// Refusal is set where the request was given up; Left where the caller left at its deadline.
	Refusal *waxwingpick.Refusal
	Left    bool
	// FirstToken is the time until the first token; zero where there was none.
	FirstToken time.Duration
	End        time.Time
	Attempts   int
	// Computed counts the tokens computed for the request in all its attempts.
	Computed int
}

// Entry takes requests and sends them to sidecars.
type Entry struct {
	timers   *timer.Manual
	zone     waxwingpick.AvailabilityZone
	balancer Balancer
	retries  *retry.Policy
	sidecars map[waxwingpick.TargetID]*Sidecar
	// First hears of first tokens, Token the time between two tokens, Ended each outcome. All may be nil.
	First func(r *Request)
	Token func(class waxwingpick.Class, gap time.Duration)
	Ended func(o Outcome)
}

// NewEntry returns an entry in an availability zone before the sidecars.
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

// Observe takes a load report.
func (e *Entry) Observe(target waxwingpick.TargetID, load waxwingpick.TargetLoad) {
	e.balancer.Observe(e.timers.Now(), target, load)
}

// Arrive takes a request; its caller leaves at the deadline, or when the returned function is called.
func (e *Entry) Arrive(r *Request) (leave func(now time.Time)) {
	now := e.timers.Now()
	c := &call{
		entry: e,
		outcome: Outcome{
			Request: r,
		},
	}
	if r.TwoLegs {
		c.leg = LegPrefill
	}
	c.stop = e.timers.After(r.Deadline.Sub(now), c.left)
	e.retries.Request(now)
	c.try(now)
	return c.left
}

// call is one request at its entry.
type call struct {
	entry   *Entry
	leg     Leg
	attempt *Attempt
	pick    Pick
	tried   []waxwingpick.TargetID
	outcome Outcome
	ended   bool
	stop    func()
}

func (c *call) try(now time.Time) {
	if c.ended {
		return
	}
	pick, ok := c.entry.balancer.Choose(now, c.outcome.Request, c.leg, c.tried)
	if !ok {
		c.giveUp(now, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, time.Second, ""))
		return
	}
	c.outcome.Attempts++
	c.pick = pick
	s := c.entry.sidecars[pick.Target]
	a := &Attempt{
		Request: c.outcome.Request,
		Leg:     c.leg,
		Cached:  pick.Cached,
	}
	hop := c.entry.latency(s)
	a.OnFirst = func(now time.Time) {
		if c.outcome.FirstToken == 0 {
			c.outcome.FirstToken = now.Add(hop).Sub(c.outcome.Request.Arrival)
		}
		if c.entry.First != nil {
			c.entry.timers.After(hop, func(time.Time) {
				c.entry.First(c.outcome.Request)
			})
		}
	}
	a.OnToken = func(gap time.Duration) {
		if c.entry.Token != nil {
			c.entry.Token(c.outcome.Request.Class, gap)
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
	c.end(now, result)
	c.again(now, refusal)
}

func (c *call) finished(now time.Time, ending Ending) {
	switch ending {
	case EndingWhole:
		c.end(now, routing.ResultAnswered)
		c.entry.retries.Answered()
		c.whole(now)
	case EndingLost:
		c.end(now, routing.ResultFailed)
		c.again(now, waxwingpick.Unknown(waxwingpick.ReasonTargetLost, ""))
	case EndingCancelled:
		c.end(now, routing.ResultCancelled)
	}
}

func (c *call) end(now time.Time, result routing.Result) {
	c.entry.balancer.Ended(now, c.pick, result)
}

func (c *call) whole(now time.Time) {
	if c.ended {
		return
	}
	if c.leg == LegPrefill {
		c.leg = LegDecode
		c.tried = nil
		transfer := float64(c.outcome.Request.PromptTokens) / transferTokensPerSecond
		c.entry.timers.After(time.Duration(transfer*float64(time.Second)), c.try)
		return
	}
	c.outcome.Whole = true
	c.close(now)
}

func (c *call) again(now time.Time, refusal *waxwingpick.Refusal) {
	if c.ended {
		return
	}
	if !slices.Contains(c.tried, c.pick.Target) {
		c.tried = append(c.tried, c.pick.Target)
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

func (c *call) left(now time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	c.outcome.Left = true
	a := c.attempt
	if a != nil && (a.sidecar == nil || a.sidecar.Cancel(a)) {
		c.end(now, routing.ResultCancelled)
	}
	c.close(now)
}

func (c *call) giveUp(now time.Time, refusal *waxwingpick.Refusal) {
	c.outcome.Refusal = refusal
	c.close(now)
}

func (c *call) close(now time.Time) {
	c.ended = true
	c.stop()
	c.outcome.End = now
	if c.entry.Ended != nil {
		c.entry.Ended(c.outcome)
	}
}

// latency returns the one-way time between the entry and a sidecar.
func (e *Entry) latency(s *Sidecar) time.Duration {
	if s.engine.spec.Zone == e.zone {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}
