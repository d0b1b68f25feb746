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
	// Number counts the attempts of the request so far, from 1.
	Number  int
	Refusal *waxwingpick.Refusal
	// Unsent says that nothing reached a target: the attempt then costs nobody anything, and counts for no bound.
	Unsent bool
	// Sendings is how many sendings a retry brings, the reading of a prompt apart being one more; zero means one.
	Sendings int
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Delivered says that the caller got a part of the answer, so that only a continuation could follow.
	Delivered bool
	Deadline  time.Time
	// Needed is the least predicted time of a new attempt.
	Needed time.Duration
}

// counted returns how many sendings of a retry the budget bounds: in place of one that reached nobody another one is free.
func (a Attempt) counted() int {
	n := max(1, a.Sendings)
	if a.Unsent {
		n--
	}
	return n
}

// Verdict says whether and when an attempt is tried again.
type Verdict struct {
	Retry bool
	// Delay is the time to wait before the new attempt.
	Delay time.Duration
	// Refusal is what the caller is told where there is no retry.
	Refusal *waxwingpick.Refusal
}

// Policy decides on retries; it is not safe for concurrent use.
type Policy struct {
	budget     *Budget
	rand       *rand.Rand
	attempts   int
	backoff    time.Duration
	maxBackoff time.Duration
	overload   float64
}

// Option sets one parameter of a Policy.
type Option func(*Policy) error

// Fraction sets the fraction of requests that may be retried.
func Fraction(fraction float64) Option {
	return func(p *Policy) error {
		return p.budget.SetFraction(fraction)
	}
}

// Within sets a budget that several processes have together, in place of a fraction of this one's requests.
func Within(bounds Bounds) Option {
	return func(p *Policy) error {
		if err := bounds.Check(); err != nil {
			return err
		}
		p.budget = &Budget{
			fraction: earnedShare * bounds.Ratio,
			shares: &shares{
				bounds: bounds,
			},
		}
		return nil
	}
}

// Attempts bounds the attempts of one request, the first one included.
func Attempts(n int) Option {
	return func(p *Policy) error {
		if n < 1 {
			return eris.Errorf("attempts %d must be positive", n)
		}
		p.attempts = n
		return nil
	}
}

// Backoff sets the first and the greatest delay before a retry.
func Backoff(first, greatest time.Duration) Option {
	return func(p *Policy) error {
		if first <= 0 || greatest < first {
			return eris.Errorf("backoff %v to %v is not in order", first, greatest)
		}
		p.backoff = first
		p.maxBackoff = greatest
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

// New returns a policy; it fails when an option is out of its bounds.
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

// SetProcesses tells how many processes have a budget together that was set by Within.
func (p *Policy) SetProcesses(now time.Time, n int) {
	p.budget.SetProcesses(now, n)
}

// Request counts a first attempt.
func (p *Policy) Request(now time.Time) {
	p.budget.Request(now)
}

// Answered counts an attempt that was not refused for overload.
func (p *Policy) Answered() {
	p.overload -= overloadSmoothing * p.overload
}

// Decide says whether a failed attempt is tried again; it takes the retry from the budget.
func (p *Policy) Decide(now time.Time, a Attempt) Verdict {
	if a.Refusal == nil {
		return Verdict{}
	}
	p.count(a.Refusal.Reason)
	if !p.allowed(a) {
		return giveUp(a.Refusal)
	}
	delay := p.delay(a)
	if now.Add(delay + a.Needed).After(a.Deadline) {
		return giveUp(a.Refusal)
	}
	if n := a.counted(); n > 0 && !p.budget.Take(now, n) {
		return giveUp(a.Refusal)
	}
	return Verdict{
		Retry: true,
		Delay: delay,
	}
}

func (p *Policy) count(reason waxwingpick.Reason) {
	sample := 0.0
	if overloaded(reason) {
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
	if overloaded(a.Refusal.Reason) && p.overload > defaultOverloadCap {
		return false
	}
	return elsewhere(a.Refusal.Reason)
}

// delay returns the backoff with full jitter; a refusal of one target alone is tried elsewhere at once.
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

// overloaded reports whether the reason says that a target had no room.
func overloaded(reason waxwingpick.Reason) bool {
	return reason == waxwingpick.ReasonOverload || reason == waxwingpick.ReasonDeadline
}

// elsewhere reports whether another target may answer what one refused for the reason.
func elsewhere(reason waxwingpick.Reason) bool {
	switch reason {
	case waxwingpick.ReasonOverload, waxwingpick.ReasonDeadline, waxwingpick.ReasonLeaving,
		waxwingpick.ReasonStopping, waxwingpick.ReasonWrongModel, waxwingpick.ReasonStaleIncarnation,
		waxwingpick.ReasonTargetUnreachable, waxwingpick.ReasonTargetLost:
		return true
	case waxwingpick.ReasonRateLimit, waxwingpick.ReasonCrashSuspect, waxwingpick.ReasonKeyValue,
		waxwingpick.ReasonBarred, waxwingpick.ReasonNoTarget, waxwingpick.ReasonKeyReuse,
		waxwingpick.ReasonKeyExpired:
		return false
	}
	return false
}
