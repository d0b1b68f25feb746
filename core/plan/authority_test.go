package plan_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// TakeoverBound is the documented maximum time from the kill of a holder to the next holder's first write.
const TakeoverBound = 5 * time.Second

// candidate is the Authority of one entry with a key-value service that responds after a delay.
type candidate struct {
	id      waxwingpick.InstanceID
	machine *plan.Authority
	client  *memkv.Client
	readyAt time.Time
	result  kvcall.Result
	waiting bool
	dead    bool
}

type election struct {
	timers     *timer.Manual
	kv         *memkv.Store
	candidates []*candidate
	latency    func() time.Duration
	// calls holds the times of each candidate's calls.
	calls map[waxwingpick.InstanceID][]time.Time
}

func newElection(t *testing.T, seed uint64, entries int, latency func() time.Duration) *election {
	return newElectionWith(t, entries, latency, func(i int) *rand.Rand {
		return rand.New(rand.NewPCG(seed, uint64(i)))
	})
}

func newElectionWith(t *testing.T, entries int, latency func() time.Duration, random func(i int) *rand.Rand) *election {
	timers := timer.NewManual(time.Unix(1_000_000, 0))
	e := &election{
		timers:  timers,
		kv:      memkv.New(timers),
		latency: latency,
		calls:   make(map[waxwingpick.InstanceID][]time.Time),
	}
	var live []waxwingpick.InstanceID
	for i := range entries {
		live = append(live, waxwingpick.InstanceID(fmt.Sprintf("entry-%d", i)))
	}
	for i, id := range live {
		ids := 0
		a, err := plan.NewAuthority("maestro", id,
			plan.WithRandom(random(i)),
			plan.WithChangeIDs(func() string {
				ids++
				return fmt.Sprintf("%s/%d", id, ids)
			}))
		require.NoError(t, err)
		a.SetLive(live)
		e.candidates = append(e.candidates, &candidate{
			id:      id,
			machine: a,
			client:  e.kv.Client(),
		})
	}
	return e
}

// run runs all live candidates for a time, in steps of ten milliseconds.
func (e *election) run(d time.Duration, until func() bool) {
	const tick = 10 * time.Millisecond
	for range d / tick {
		if until != nil && until() {
			return
		}
		e.timers.Advance(tick)
		now := e.timers.Now()
		for _, c := range e.candidates {
			if !c.dead && !now.Before(c.readyAt) {
				e.step(c, now)
			}
		}
	}
}

// step applies the result of the completed call and makes the next one.
func (e *election) step(c *candidate, now time.Time) {
	if c.waiting {
		c.waiting = false
		c.machine.Apply(now, c.result)
	}
	call := c.machine.Next(now)
	if call.Kind == kvcall.Wait {
		c.readyAt = call.Until
		return
	}
	e.calls[c.id] = append(e.calls[c.id], now)
	c.result = call.Do(context.Background(), c.client)
	c.readyAt = now.Add(e.latency())
	c.waiting = true
}

func (e *election) holder() *candidate {
	for _, c := range e.candidates {
		if !c.dead && c.machine.Holds() {
			return c
		}
	}
	return nil
}

func constant(d time.Duration) func() time.Duration {
	return func() time.Duration {
		return d
	}
}

func TestTakeoverAfterAKillIsPrompt(t *testing.T) {
	var worst, sum time.Duration
	const trials = 200
	for seed := range uint64(trials) {
		e := newElection(t, seed, 4, constant(10*time.Millisecond))
		r := rand.New(rand.NewPCG(seed, 99))
		e.run(3*time.Second+time.Duration(r.Int64N(int64(3*time.Second))), nil)
		killed := e.holder()
		require.NotNil(t, killed)
		killed.dead = true
		at := e.timers.Now()
		e.run(time.Minute, func() bool {
			return e.holder() != nil
		})
		took := e.timers.Now().Sub(at)
		require.LessOrEqual(t, took, TakeoverBound, "seed %d", seed)
		worst = max(worst, took)
		sum += took
	}
	t.Logf("takeover: mean %s, worst %s of %d", sum/trials, worst, trials)
}

func TestSlowServiceDoesNotMakeTheAuthorityFlap(t *testing.T) {
	cases := []struct {
		name    string
		latency func(r *rand.Rand) time.Duration
		lose    int
	}{
		{name: "slow", latency: func(*rand.Rand) time.Duration { return 800 * time.Millisecond }},
		{name: "uneven", latency: func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(time.Second))) }},
		{name: "lost responses", latency: func(*rand.Rand) time.Duration { return 100 * time.Millisecond }, lose: 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			e := newElection(t, 1, 4, func() time.Duration {
				return c.latency(r)
			})
			e.run(time.Minute, func() bool {
				return e.holder() != nil
			})
			first := e.holder()
			for _, other := range e.candidates {
				other.client.SetFault(func(waxwingpick.KeyValueCall) memkv.Fault {
					if c.lose > 0 && r.IntN(c.lose) == 0 {
						return memkv.FaultLoseResponse
					}
					return memkv.FaultNone
				})
			}
			before, _ := first.machine.Record()
			for i := range 60 {
				first.machine.SetDesired(fleet(3, i))
				e.run(10*time.Second, nil)
			}
			after, _ := first.machine.Record()
			require.Same(t, first, e.holder())
			require.Equal(t, before.Epoch, after.Epoch)
			require.Equal(t, "cacaotera-dossier-review-59", after.Targets[0].Order.Config.Model)
		})
	}
}

func TestCandidatesDoNotRetryInStepAfterAnOutage(t *testing.T) {
	const (
		entries         = 40
		maxSimultaneous = 5
	)
	// Without ranks and with identical jitter the candidates must be observed to retry at the same time.
	naive := newElectionWith(t, entries, constant(10*time.Millisecond), func(int) *rand.Rand {
		return rand.New(rand.NewPCG(1, 1))
	})
	for _, c := range naive.candidates {
		c.machine.SetLive([]waxwingpick.InstanceID{c.id})
	}
	_, simultaneous := naive.callsAfterOutage()
	require.Greater(t, simultaneous, maxSimultaneous)

	e := newElection(t, 1, entries, constant(10*time.Millisecond))
	all, simultaneous := e.callsAfterOutage()
	require.Less(t, all, entries)
	require.Less(t, simultaneous, maxSimultaneous)
	e.run(10*time.Second, nil)
	require.NotNil(t, e.holder())
}

// callsAfterOutage returns the calls per second in the first ten seconds after an outage, and the maximum number of
// simultaneous calls.
func (e *election) callsAfterOutage() (perSecond, simultaneous int) {
	const seconds = 10
	e.run(10*time.Second, nil)
	e.kv.SetDown(true)
	e.run(2*time.Minute, nil)
	clear(e.calls)
	e.kv.SetDown(false)
	e.run(seconds*time.Second, nil)
	perTick := make(map[time.Time]int)
	for _, times := range e.calls {
		perSecond += len(times)
		for _, at := range times {
			perTick[at]++
			simultaneous = max(simultaneous, perTick[at])
		}
	}
	return perSecond / seconds, simultaneous
}

func TestResignHandsOverAtOnce(t *testing.T) {
	e := newElection(t, 1, 3, constant(10*time.Millisecond))
	e.run(5*time.Second, nil)
	leaver := e.holder()
	leaver.machine.Resign()
	e.run(5*time.Second, func() bool {
		return leaver.machine.Resigned()
	})
	require.True(t, leaver.machine.Resigned())
	leaver.dead = true
	at := e.timers.Now()
	e.run(time.Minute, func() bool {
		return e.holder() != nil
	})
	require.Less(t, e.timers.Now().Sub(at), plan.DefaultLeaseTTL)
}
