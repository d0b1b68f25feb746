package retry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	defaultFraction    = 0.1
	defaultAttempts    = 3
	defaultBackoff     = 10 * time.Millisecond
	defaultMaxBackoff  = time.Second
	overloadSmoothing  = 0.05
	defaultOverloadCap = 0.3
)

// Attempt is a failed attempt.
type Attempt struct {
	// Number is the number of attempts of the request so far, starting from 1.
	Number  int
	Refusal *waxwingpick.Refusal
	// Unsent means that nothing was sent to a target. The attempt has caused no load, and no limit applies to it.
	Unsent bool
	// Cost is the number of requests that a retry sends: 1, or 2 if it may have to repeat the prefill. Zero means 1.
	Cost int
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// Delivered means that the caller received a part of the answer, so that only a continuation could follow.
	Delivered bool
	Deadline  time.Time
	// Needed is the minimum predicted duration of a new attempt.
	Needed time.Duration
}

// budgetCost returns the number of a retry's requests that are taken from the budget. One is free if the failed attempt
// was not sent.
func (a Attempt) budgetCost() int {
	n := max(1, a.Cost)
	if a.Unsent {
		n--
	}
	return n
}

// Verdict is the decision on a failed attempt.
type Verdict struct {
	Retry bool
	// Delay is the time to wait before the new attempt.
	Delay time.Duration
	// Refusal is the response to the caller if there is no retry.
	Refusal *waxwingpick.Refusal
}

// Policy decides on retries. It is not safe for concurrent use.
type Policy struct {
	budget     *Budget
	rand       *rand.Rand
	attempts   int
	backoff    time.Duration
	maxBackoff time.Duration
	overload   float64
}

// Option configures a Policy.
type Option func(*Policy) error

// Fraction sets the fraction of requests that may be retried.
func Fraction(fraction float64) Option {
	return func(p *Policy) error {
		return p.budget.SetFraction(fraction)
	}
}

// WithSharedBudget sets a budget that several processes share, instead of a fraction of this process's requests.
func WithSharedBudget(bounds Bounds) Option {
	return func(p *Policy) error {
		if err := bounds.Check(); err != nil {
			return err
		}
		p.budget = &Budget{
			fraction: refillShare * bounds.Ratio,
			shares: &shares{
				bounds: bounds,
			},
		}
		return nil
	}
}

// Attempts sets the maximum number of attempts of one request, including the first.
func Attempts(n int) Option {
	return func(p *Policy) error {
		if n < 1 {
			return eris.Errorf("attempts %d must be positive", n)
		}
		p.attempts = n
		return nil
	}
}

// Backoff sets the first and the maximum delay before a retry.
func Backoff(first, maxDelay time.Duration) Option {
	return func(p *Policy) error {
		if first <= 0 || maxDelay < first {
			return eris.Errorf("backoff from %v to %v: want a positive range", first, maxDelay)
		}
		p.backoff = first
		p.maxBackoff = maxDelay
		return nil
	}
}

// Rand sets the source of the jitter.
func Rand(r *rand.Rand) Option {
	return func(p *Policy) error {
		if r == nil {
			return eris.New("random source is nil")
		}
		p.rand = r
		return nil
	}
}

// New returns a policy. It fails if an option's value is out of range.
func New(opts ...Option) (*Policy, error) {
	budget, err := NewBudget(defaultFraction)
	if err != nil {
		return nil, err
	}
	p := &Policy{
		budget:     budget,
		rand:       rand.New(rand.NewPCG(1, 1)),
		attempts:   defaultAttempts,
		backoff:    defaultBackoff,
		maxBackoff: defaultMaxBackoff,
	}
	for _, opt := range opts {
		if err := opt(p); err != nil {
			return nil, fmt.Errorf("retry option: %w", err)
		}
	}
	return p, nil
}

// SetFraction changes the fraction of requests that may be retried.
func (p *Policy) SetFraction(fraction float64) error {
	return p.budget.SetFraction(fraction)
}

// SetProcesses sets the number of processes that share a budget set by WithSharedBudget.
func (p *Policy) SetProcesses(now time.Time, n int) {
	p.budget.SetProcesses(now, n)
}

// Request counts a first attempt.
func (p *Policy) Request(now time.Time) {
	p.budget.Request(now)
}

// Responded counts an attempt that was not refused for overload.
func (p *Policy) Responded() {
	p.overload -= overloadSmoothing * p.overload
}

// Decide decides whether a failed attempt is retried, and takes the retry from the budget.
func (p *Policy) Decide(now time.Time, a Attempt) Verdict {
	if a.Refusal == nil {
		return Verdict{}
	}
	p.recordOutcome(a.Refusal.Reason)
	if !p.allowed(a) {
		return giveUp(a.Refusal)
	}
	delay := p.delay(a)
	if now.Add(delay + a.Needed).After(a.Deadline) {
		return giveUp(a.Refusal)
	}
	if n := a.budgetCost(); n > 0 && !p.budget.Take(now, n) {
		return giveUp(a.Refusal)
	}
	return Verdict{
		Retry: true,
		Delay: delay,
	}
}

func (p *Policy) recordOutcome(reason waxwingpick.Reason) {
	sample := 0.0
	if isOverload(reason) {
		sample = 1
	}
	p.overload += overloadSmoothing * (sample - p.overload)
}

func (p *Policy) allowed(a Attempt) bool {
	if a.Delivered || a.Number >= p.attempts && !a.Unsent {
		return false
	}
	if a.Refusal.Outcome != waxwingpick.OutcomeNotRun && !a.Repeatable {
		return false
	}
	if isOverload(a.Refusal.Reason) && p.overload > defaultOverloadCap {
		return false
	}
	return mayRetryOnOther(a.Refusal.Reason)
}

// delay returns the backoff with full jitter. After a refusal of one target, another target is tried without delay.
func (p *Policy) delay(a Attempt) time.Duration {
	if a.Refusal.Outcome == waxwingpick.OutcomeNotRun && (a.Number == 1 || a.Unsent) {
		return 0
	}
	span := min(p.backoff<<min(a.Number, 16), p.maxBackoff)
	return time.Duration(p.rand.Int64N(int64(span)) + 1)
}

func giveUp(refusal *waxwingpick.Refusal) Verdict {
	return Verdict{
		Refusal: refusal,
	}
}

// isOverload reports whether the reason means that a target had no capacity.
func isOverload(reason waxwingpick.Reason) bool {
	return reason == waxwingpick.ReasonOverload || reason == waxwingpick.ReasonDeadline
}

// mayRetryOnOther reports whether another target may serve a request that one target refused for the reason.
func mayRetryOnOther(reason waxwingpick.Reason) bool {
	switch reason {
	case waxwingpick.ReasonOverload, waxwingpick.ReasonDeadline, waxwingpick.ReasonLeaving,
		waxwingpick.ReasonStopping, waxwingpick.ReasonWrongModel, waxwingpick.ReasonStaleIncarnation,
		waxwingpick.ReasonTargetUnreachable, waxwingpick.ReasonTargetLost, waxwingpick.ReasonUnstatedRefusal:
		return true
	case waxwingpick.ReasonRateLimit, waxwingpick.ReasonCrashSuspect, waxwingpick.ReasonKeyValue,
		waxwingpick.ReasonFenced, waxwingpick.ReasonNoTarget, waxwingpick.ReasonKeyReuse,
		waxwingpick.ReasonKeyExpired:
		return false
	}
	return false
}
