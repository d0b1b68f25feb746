package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/internal/rapidtest"
)

var start = time.Unix(1_000_000, 0)

const fraction = 0.1

func TestMain(m *testing.M) {
	rapidtest.Main(m, 1000)
}

// decider is what the property checks: a Policy or a naive variant of it.
type decider interface {
	Request(now time.Time)
	Decide(now time.Time, a retry.Attempt) retry.Verdict
}

// allowance is the maximum number of retries: the fraction of all requests, a burst of 10 that accumulates while there are
// few failures, and one per five seconds for times with little traffic.
func allowance(requests int, elapsed time.Duration) float64 {
	return 10 + fraction*float64(requests) + elapsed.Seconds()/5
}

func attempt(t *rapid.T, now time.Time) retry.Attempt {
	reasons := []waxwingpick.Reason{
		waxwingpick.ReasonOverload, waxwingpick.ReasonLeaving, waxwingpick.ReasonTargetLost, waxwingpick.ReasonUnstatedRefusal,
		waxwingpick.ReasonTargetUnreachable, waxwingpick.ReasonRateLimit, waxwingpick.ReasonKeyReuse,
	}
	return retry.Attempt{
		Number: rapid.IntRange(1, 4).Draw(t, "number"),
		Refusal: &waxwingpick.Refusal{
			Outcome: rapid.SampledFrom([]waxwingpick.Outcome{waxwingpick.OutcomeNotRun, waxwingpick.OutcomeUnknown}).Draw(t, "outcome"),
			Reason:  rapid.SampledFrom(reasons).Draw(t, "reason"),
		},
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Delivered:  rapid.IntRange(0, 4).Draw(t, "delivered") == 0,
		Deadline:   now.Add(time.Duration(rapid.SampledFrom([]int{0, 5, 100, 10_000}).Draw(t, "deadline")) * time.Millisecond),
		Needed:     time.Duration(rapid.SampledFrom([]int{0, 50}).Draw(t, "needed")) * time.Millisecond,
	}
}

// property checks each retry against the documented limits.
func property(build func(t require.TestingT) decider) func(t *rapid.T) {
	return func(t *rapid.T) {
		p := build(t)
		now := start
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "millis")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "first") == 0 {
				p.Request(now)
				requests++
				continue
			}
			a := attempt(t, now)
			v := p.Decide(now, a)
			if !v.Retry {
				require.Equal(t, a.Refusal, v.Refusal, "the refusal is returned if there is no retry")
				continue
			}
			retries++
			require.True(t, a.Refusal.Outcome == waxwingpick.OutcomeNotRun || a.Repeatable, "a request that may have run and may not be repeated is not retried")
			require.False(t, a.Delivered)
			require.False(t, now.Add(v.Delay+a.Needed).After(a.Deadline), "a retry ends before the deadline")
			require.NotContains(t, []waxwingpick.Reason{waxwingpick.ReasonRateLimit, waxwingpick.ReasonKeyReuse}, a.Refusal.Reason)
			require.Less(t, a.Number, 3)
			require.LessOrEqual(t, float64(retries), allowance(requests, now.Sub(start)), "retries exceed their budget")
		}
	}
}

func policy(t require.TestingT, opts ...retry.Option) *retry.Policy {
	p, err := retry.New(append([]retry.Option{retry.Fraction(fraction)}, opts...)...)
	require.NoError(t, err)
	return p
}

func TestRetriesKeepTheirPromises(t *testing.T) {
	rapid.Check(t, property(func(t require.TestingT) decider {
		return policy(t)
	}))
}

// altered is a policy that receives an altered attempt instead of the one that failed.
type altered struct {
	*retry.Policy
	alter func(a *retry.Attempt)
}

func (c altered) Decide(now time.Time, a retry.Attempt) retry.Verdict {
	c.alter(&a)
	return c.Policy.Decide(now, a)
}

func TestOracleCatchesNaivePolicies(t *testing.T) {
	for name, alter := range map[string]func(a *retry.Attempt){
		"repeats a request that ran": func(a *retry.Attempt) { a.Repeatable = true },
		"ignores the deadline":       func(a *retry.Attempt) { a.Deadline = a.Deadline.Add(time.Hour) },
		"ignores the time needed":    func(a *retry.Attempt) { a.Needed = 0 },
		"ignores delivered parts":    func(a *retry.Attempt) { a.Delivered = false },
		"retries without limit":      func(a *retry.Attempt) { a.Number = 1 },
		"ignores the reason":         func(a *retry.Attempt) { a.Refusal = waxwingpick.NotRun(waxwingpick.ReasonLeaving, 0, "") },
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, rapidtest.Fails(t, property(func(t require.TestingT) decider {
				return altered{
					Policy: policy(t),
					alter:  alter,
				}
			})))
		})
	}
	t.Run("has no budget", func(t *testing.T) {
		require.True(t, rapidtest.Fails(t, property(func(t require.TestingT) decider {
			return policy(t, retry.Fraction(1))
		})))
	})
}

// TestNoRetryStormDuringAnOutage lets every attempt fail and counts the attempts sent to targets.
func TestNoRetryStormDuringAnOutage(t *testing.T) {
	const requests = 10_000
	for _, reason := range []waxwingpick.Reason{waxwingpick.ReasonTargetUnreachable, waxwingpick.ReasonOverload} {
		p := policy(t)
		now := start
		sent := 0
		for range requests {
			now = now.Add(time.Millisecond)
			p.Request(now)
			for n := 1; ; n++ {
				sent++
				v := p.Decide(now, retry.Attempt{
					Number:   n,
					Refusal:  waxwingpick.NotRun(reason, 0, ""),
					Deadline: now.Add(time.Minute),
				})
				if !v.Retry {
					break
				}
			}
		}
		maxSent := float64(requests) + allowance(requests, now.Sub(start))
		if reason == waxwingpick.ReasonOverload {
			maxSent = requests + 10
		}
		require.LessOrEqual(t, float64(sent), maxSent, "reason %s", reason)
	}
}

func TestUnsentAttemptsCostNothing(t *testing.T) {
	p, err := retry.New(retry.Fraction(0), retry.Attempts(2))
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	a := retry.Attempt{
		Number:   2,
		Refusal:  waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, 0, "no connection"),
		Deadline: now.Add(time.Second),
	}
	require.False(t, p.Decide(now, a).Retry)
	a.Unsent = true
	for range 20 {
		verdict := p.Decide(now, a)
		require.True(t, verdict.Retry)
		require.Zero(t, verdict.Delay)
	}
}
