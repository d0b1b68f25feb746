package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/balance"
	"waxwingpick/core/ejection"
	"waxwingpick/core/timer"
)

const (
	replayGateways = 5
	replayTargets  = 3
	replaySlots    = 6
	replayQueue    = 24
	// replayWork is the mean duration of a call, replayObjective the latency objective and replayTimeout the callers'
	// time-out.
	replayWork      = 60 * time.Millisecond
	replayObjective = 300 * time.Millisecond
	replayTimeout   = 1500 * time.Millisecond
	replayHop       = time.Millisecond
	replayLength    = 20 * time.Second
)

// tally counts the outcomes of a replay's calls.
type tally struct {
	calls, onTime, late, notRun, refused int
}

// String returns the counts in one line.
func (t tally) String() string {
	return fmt.Sprintf("%d calls, %d within objective, %d late, %d not run by a full target, %d refused", t.calls, t.onTime, t.late, t.notRun, t.refused)
}

// server is a target that runs as many calls as it has slots, queues some more and rejects the rest.
type server struct {
	running int
	waiting []func(now time.Time)
}

// replay simulates a plain service and gateways that choose among its targets.
type replay struct {
	clock   *timer.Manual
	r       *rand.Rand
	pools   []*balance.Pool
	servers map[waxwingpick.TargetID]*server
	// reported returns the load that a target reports in its responses. objective is the one passed to Choose.
	reported  func(s *server) int
	objective time.Duration
	tally     tally
}

func newReplay(reported func(s *server) int, objective time.Duration) *replay {
	w := &replay{
		clock:     timer.NewManual(start),
		r:         rand.New(rand.NewPCG(3, 3)),
		servers:   make(map[waxwingpick.TargetID]*server),
		reported:  reported,
		objective: objective,
	}
	all := targets(replayTargets, replaySlots)
	for _, t := range all {
		w.servers[t.ID] = &server{}
	}
	for range replayGateways {
		p := balance.New("here")
		p.SetTargets(all)
		w.pools = append(w.pools, p)
	}
	return w
}

// run replays calls at a fraction of the service's capacity, with a load that alternates within seconds.
func (w *replay) run(load float64) tally {
	perSecond := load * replayTargets * replaySlots / replayWork.Seconds()
	for at := time.Duration(0); at < replayLength; {
		rate := perSecond
		if at/(2*time.Second)%2 == 1 {
			rate *= 1.4
		}
		at += time.Duration(w.r.ExpFloat64() / rate * float64(time.Second))
		w.clock.After(at, w.arrive)
	}
	w.clock.Advance(replayLength + replayTimeout)
	return w.tally
}

func (w *replay) arrive(now time.Time) {
	w.tally.calls++
	pool := w.pools[w.r.IntN(len(w.pools))]
	chosen, verdict := pool.Choose(now, balance.Demand{
		Arrived:          now,
		LatencyObjective: w.objective,
	})
	if verdict != waxwingpick.VerdictPlaced {
		w.tally.refused++
		return
	}
	call := pool.Begin(now, chosen.Target.ID)
	w.clock.After(replayHop, func(time.Time) {
		w.serve(now, call, chosen.Target.ID)
	})
}

// serve runs a call at a target or queues it.
func (w *replay) serve(arrived time.Time, call *balance.Call, id waxwingpick.TargetID) {
	s := w.servers[id]
	work := func(time.Time) {
		s.running++
		w.clock.After(time.Duration(w.r.ExpFloat64()*float64(replayWork)), func(now time.Time) {
			s.running--
			call.End(now, ejection.ResponseServed, waxwingpick.Some(w.reported(s)))
			if now.Sub(arrived) <= replayObjective {
				w.tally.onTime++
			} else {
				w.tally.late++
			}
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next(now)
			}
		})
	}
	switch {
	case s.running < replaySlots:
		work(w.clock.Now())
	case len(s.waiting) < replayQueue:
		s.waiting = append(s.waiting, work)
	default:
		w.tally.notRun++
		call.End(w.clock.Now(), ejection.ResponseFailed, waxwingpick.Some(w.reported(s)))
	}
}

// TestReplayOfAnOverloadedService replays alternating loads under three rules. First, targets report only running
// calls, so that all full ones look alike. Second, they report queued calls as well. Third, calls that would use up
// most of their latency objective are refused, too.
func TestReplayOfAnOverloadedService(t *testing.T) {
	running := func(s *server) int { return s.running }
	all := func(s *server) int { return s.running + len(s.waiting) }
	var before, reported, after tally
	for _, load := range []float64{0.7, 0.85, 1, 1.3, 2} {
		rules := []tally{
			newReplay(running, 0).run(load),
			newReplay(all, 0).run(load),
			newReplay(all, replayObjective).run(load),
		}
		for i, name := range []string{"running reported", "waiting reported", "late calls refused"} {
			t.Logf("load %.2f, %s: %s", load, name, rules[i])
		}
		if load < 0.8 {
			require.LessOrEqual(t, rules[2].refused, rules[2].calls/100)
			require.Greater(t, rules[1].onTime, rules[0].onTime)
		}
		before.onTime += rules[0].onTime
		reported.onTime += rules[1].onTime
		after.onTime += rules[2].onTime
	}
	t.Logf("within objective in total: %d, %d, %d", before.onTime, reported.onTime, after.onTime)
	require.Greater(t, after.onTime, reported.onTime*11/10)
}
