package sendgate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/sendgate"
	"waxwingpick/internal/limitfleet"
	"waxwingpick/internal/rapidtest"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 100)
}

// drawn adapts drawn numbers to the source of a fleet.
type drawn struct {
	*rand.Rand
}

func newDrawn(draw rapidtest.Draw) drawn {
	return drawn{rand.New(rand.NewPCG(uint64(draw(1<<30)), 0))}
}

func someLimit(draw rapidtest.Draw) waxwingpick.Option[float64] {
	return []waxwingpick.Option[float64]{
		waxwingpick.Some(0.3),
		waxwingpick.Some(3.3),
		waxwingpick.Some(33.0),
		waxwingpick.None[float64](),
	}[draw(4)]
}

// faultyFleet runs a fleet whose limits, processes and messages are disturbed twice a second.
func faultyFleet(draw rapidtest.Draw, naive bool) error {
	f := limitfleet.New(newDrawn(draw), 1+draw(12), 1+draw(3))
	if naive {
		f.IgnoreOthers()
	}
	f.SetDemand(float64(10 + draw(300)))
	f.Run(time.Second)
	for i := range f.Targets() {
		f.State(i, someLimit(draw))
	}
	for range 40 {
		f.Run(500 * time.Millisecond)
		i := draw(f.Processes())
		switch draw(8) {
		case 0:
			f.Kill(i)
		case 1:
			f.Freeze(i, time.Duration(1+draw(3))*time.Second)
		case 2:
			f.Cut(i, time.Duration(1+draw(5))*time.Second)
		case 3:
			f.SetFaults(limitfleet.Faults{
				Loss:     float64(draw(50)) / 100,
				MaxDelay: time.Duration(1+draw(1000)) * time.Millisecond,
			})
		case 4:
			f.State(draw(f.Targets()), someLimit(draw))
		case 5:
			if f.Processes() < 16 {
				f.Add()
			}
		}
	}
	return f.Check()
}

// TestLimitsHoldUnderFaults guards against more requests than all processes together may send to a target.
func TestLimitsHoldUnderFaults(t *testing.T) {
	rapidtest.Check(t, func(draw rapidtest.Draw) error {
		return faultyFleet(draw, false)
	})
}

// TestProcessesThatShareNothingAreFound checks that the oracle finds processes that each use all of a limit.
func TestProcessesThatShareNothingAreFound(t *testing.T) {
	require.Error(t, rapidtest.FirstViolation(func(draw rapidtest.Draw) error {
		return faultyFleet(draw, true)
	}))
}

// TestLimitsAreUsed guards against limits of which most is unused although callers wait, or that a few processes use alone.
func TestLimitsAreUsed(t *testing.T) {
	for _, c := range []struct {
		processes int
		limit     float64
	}{
		{1, 3.3}, {1, 33}, {5, 0.3}, {5, 3.3}, {5, 330}, {68, 3.3}, {68, 33}, {400, 3.3},
	} {
		t.Run(fmt.Sprint(c.processes, " processes, limit ", c.limit), func(t *testing.T) {
			f := limitfleet.New(rand.New(rand.NewPCG(1, 1)), c.processes, 3)
			f.SetDemand(9 * c.limit)
			f.Run(time.Second)
			for i := range f.Targets() {
				f.State(i, waxwingpick.Some(c.limit))
			}
			f.Run(33 * time.Second)
			require.NoError(t, f.Check())
			used := 0.0
			for i := range f.Targets() {
				used += f.Used(i, limitfleet.Contact) / float64(f.Targets())
			}
			require.GreaterOrEqual(t, used, 0.8)
		})
	}
}

// newGate returns a gate whose random numbers are zero.
func newGate(self waxwingpick.InstanceID) *sendgate.Gate {
	return sendgate.New(self, func() float64 { return 0 })
}

func target(startMillis int64) waxwingpick.Target {
	return waxwingpick.Target{
		ID:              "target",
		StartUnixMillis: startMillis,
	}
}

// limited states a limit in requests per second.
func limited(perSecond float64) waxwingpick.Statement {
	return waxwingpick.Statement{
		RequestLimit: waxwingpick.Some(perSecond),
	}
}

// at returns the time after the start of a test.
func at(d time.Duration) time.Time { return start.Add(d) }

func TestOlderResponseDoesNotWithdrawALimit(t *testing.T) {
	g := newGate("self")
	none := waxwingpick.Statement{}
	g.Observe(start, start, target(1), limited(1), true)
	g.Observe(at(time.Second), at(-time.Millisecond), target(1), none, true)
	require.Equal(t, 1, g.Counts(at(time.Second)).Limited, "the request was sent before the limit was stated")
	g.Observe(at(2*time.Second), at(time.Second), target(1), none, false)
	require.Equal(t, 1, g.Counts(at(2*time.Second)).Limited, "the target did not process the request")
	malformed := waxwingpick.Statement{
		Malformed: []waxwingpick.Header{{
			Name: "Limit",
		}},
	}
	g.Observe(at(2*time.Second), at(time.Second), target(1), malformed, true)
	require.Equal(t, 1, g.Counts(at(2*time.Second)).Limited, "the field could not be decoded")
	g.Observe(at(2*time.Second), at(time.Second), target(1), none, true)
	require.Zero(t, g.Counts(at(2*time.Second)).Limited)
	g.Apply(at(3*time.Second), sendgate.Report{
		Target:          "target",
		StartUnixMillis: 1,
		Limit:           waxwingpick.Some(1.0),
		LimitAge:        waxwingpick.Some(2500 * time.Millisecond),
	})
	require.Zero(t, g.Counts(at(3*time.Second)).Limited, "an older report restores no limit")
}

// TestLateReportDoesNotLoosenALimit guards against a former, higher limit or a former withdrawal whose age is too low because
// its message was late.
func TestLateReportDoesNotLoosenALimit(t *testing.T) {
	for name, former := range map[string]waxwingpick.Option[float64]{
		"higher limit": waxwingpick.Some(33.0),
		"withdrawal":   waxwingpick.None[float64](),
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate("self")
			g.Observe(start, start, target(1), limited(0), true)
			report := func(age time.Duration) sendgate.Report {
				return sendgate.Report{
					Target:          "target",
					StartUnixMillis: 1,
					Limit:           former,
					LimitAge:        waxwingpick.Some(age),
				}
			}
			g.Apply(at(time.Second), report(500*time.Millisecond))
			require.Equal(t, sendgate.AdmissionRefused, g.Take(at(2*time.Second), "target"))
			g.Apply(at(3*time.Second), report(500*time.Millisecond))
			require.Equal(t, sendgate.AdmissionTaken, g.Take(at(4*time.Second), "target"), "a newer report applies")
		})
	}
}

func TestRestartedTargetIsOpen(t *testing.T) {
	g := newGate("self")
	all := limited(0)
	all.Leaving = true
	all.RetryAfter = waxwingpick.Some(time.Minute)
	g.Observe(start, start, target(1), all, true)
	require.Equal(t, sendgate.AdmissionRefused, g.Take(start, "target"))
	g.SetTargets(at(time.Second), []waxwingpick.Target{target(1)})
	require.Equal(t, sendgate.AdmissionRefused, g.Take(at(time.Second), "target"))
	g.SetTargets(at(time.Second), []waxwingpick.Target{target(2)})
	require.Equal(t, sendgate.AdmissionTaken, g.Take(at(time.Second), "target"))
	g.Observe(at(2*time.Second), at(0), target(1), all, true)
	require.Equal(t, sendgate.AdmissionTaken, g.Take(at(2*time.Second), "target"), "a response of the former incarnation")
}

func TestLimitNobodyConfirmsEnds(t *testing.T) {
	g := newGate("self")
	g.Observe(start, start, target(1), limited(0), true)
	require.Len(t, g.Changes(start), 1)
	require.Equal(t, sendgate.AdmissionRefused, g.Take(at(29*time.Second), "target"))
	require.Equal(t, 1, g.Blocked(at(29*time.Second), true).Len())
	require.Zero(t, g.Blocked(at(31*time.Second), true).Len())
	require.Equal(t, sendgate.AdmissionTaken, g.Take(at(31*time.Second), "target"))
	changes := g.Changes(at(31 * time.Second))
	require.Len(t, changes, 1)
	_, stated := changes[0].Limit.Get()
	require.False(t, stated)
}

func TestLeaveLastsAndIsReported(t *testing.T) {
	g, other := newGate("self"), newGate("other")
	g.Observe(start, start, target(1), waxwingpick.Statement{
		Leaving: true,
	}, true)
	// A later response without the statement does not take it back.
	g.Observe(at(time.Second), start, target(1), waxwingpick.Statement{}, true)
	require.Equal(t, sendgate.AdmissionRefused, g.Take(at(time.Minute), "target"))
	_, ok := g.Wait(at(time.Minute), "target").Get()
	require.False(t, ok)
	reports := g.Reports(at(2 * time.Second))
	require.Len(t, reports, 1)
	other.Apply(at(2*time.Second), reports[0])
	require.Equal(t, sendgate.AdmissionRefused, other.Take(at(2*time.Second), "target"))
	require.Equal(t, sendgate.KindLeave, other.Changes(at(2 * time.Second))[0].Kind)
	require.Empty(t, g.Reports(at(time.Minute)), "the list names it, too")
	require.Equal(t, sendgate.AdmissionTaken, g.Take(at(2*time.Hour), "target"))
	require.Zero(t, g.Counts(at(2*time.Hour)).Leaving)
}

func TestDelayAppliesToThisProcessUntilItsEnd(t *testing.T) {
	g := newGate("self")
	delay := func(d time.Duration) waxwingpick.Statement {
		return waxwingpick.Statement{
			RetryAfter: waxwingpick.Some(d),
		}
	}
	g.Observe(start, start, target(1), delay(3*time.Second), false)
	g.Observe(at(time.Second), start, target(1), delay(time.Second), false)
	require.Equal(t, 1, g.Counts(at(time.Second)).Delayed)
	require.Equal(t, sendgate.AdmissionRefused, g.Take(at(2999*time.Millisecond), "target"), "a shorter delay does not end a longer one")
	require.Equal(t, waxwingpick.Some(time.Millisecond), g.Wait(at(2999*time.Millisecond), "target"))
	for _, r := range g.Reports(at(time.Second)) {
		require.Empty(t, r)
	}
	require.Equal(t, sendgate.KindDelay, g.Changes(at(time.Second))[0].Kind)
	require.Equal(t, sendgate.AdmissionTaken, g.Take(at(3*time.Second), "target"))
}

func TestStateIsBounded(t *testing.T) {
	g := newGate("self")
	for i := range 5000 {
		g.Apply(start, sendgate.Report{
			Target:   waxwingpick.TargetID(fmt.Sprint(i)),
			Limit:    waxwingpick.Some(1.0),
			LimitAge: waxwingpick.Some(time.Duration(0)),
		})
		g.ProcessSeen(start, waxwingpick.InstanceID(fmt.Sprint(i)))
	}
	require.Equal(t, 4096, g.Counts(start).Limited)
	sent := waxwingpick.NewSet[waxwingpick.TargetID]()
	for now := at(time.Second); sent.Len() < 4096; now = now.Add(200 * time.Millisecond) {
		reports := g.Reports(now)
		require.LessOrEqual(t, len(reports), sendgate.MaxReports)
		require.Less(t, now.Sub(start), 20*time.Second, "all limits are sent in turn")
		for _, r := range reports {
			sent.Add(r.Target)
		}
	}
}

func TestChangesAreReportedBeforeRefreshes(t *testing.T) {
	g := newGate("self")
	for i := range 300 {
		g.Observe(start, start, waxwingpick.Target{
			ID: waxwingpick.TargetID(fmt.Sprint(i)),
		}, limited(1), true)
	}
	now := at(time.Second)
	for range 5 {
		require.NotEmpty(t, g.Reports(now))
		now = now.Add(200 * time.Millisecond)
	}
	require.Empty(t, g.Reports(now), "refreshes are slower")
	g.Observe(now, now, target(1), limited(1), true)
	require.EqualValues(t, "target", g.Reports(now)[0].Target)
}

func TestWaitEndsWithTheNextToken(t *testing.T) {
	g := newGate("self")
	g.Observe(start, start, target(1), limited(2), true)
	wait, ok := g.Wait(start, "target").Get()
	require.True(t, ok)
	require.InDelta(t, (500 * time.Millisecond).Seconds(), wait.Seconds(), 0.05)
	require.Equal(t, sendgate.AdmissionRefused, g.Take(at(wait-time.Millisecond), "target"))
	require.Equal(t, sendgate.AdmissionTaken, g.Take(at(wait), "target"))
	g.Observe(at(time.Second), at(wait), target(1), limited(0), true)
	_, ok = g.Wait(at(time.Second), "target").Get()
	require.False(t, ok, "no request is allowed")
}
