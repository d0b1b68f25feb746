package drain_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/drain"
	"waxwingpick/internal/rapidtest"
)

const (
	margin        = time.Minute
	movesInFlight = 2
	lameDuck      = 3 * time.Second
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 3000)
}

// gate is the part of a gate that a naive variant may replace.
type gate interface {
	Enter(now time.Time, id string, movable bool) error
	Leave(id string)
	Announce(by time.Time)
	Withdraw()
	Stop(now time.Time) drain.Phase
	Ready() bool
	Phase(now time.Time) drain.Phase
	Running() int
	Moves(now time.Time) []string
	Moved(now time.Time, id string, ok bool)
}

// machine checks a gate against a simple model: what runs, and what was announced.
type machine struct {
	gate     gate
	now      time.Time
	leaving  bool
	by       time.Time
	signals  int
	signalAt time.Time
	running  map[string]bool
	moving   map[string]bool
	ids      int
}

func newGate(t require.TestingT) *drain.Gate {
	gate, err := drain.New(drain.WithMoves(margin, movesInFlight), drain.WithLameDuck(lameDuck))
	require.NoError(t, err)
	return gate
}

func (m *machine) enter(t *rapid.T) {
	m.ids++
	id := fmt.Sprint(m.ids)
	movable := rapid.Bool().Draw(t, "movable")
	err := m.gate.Enter(m.now, id, movable)
	stopped := m.signals > 1 || m.signals == 1 && m.now.Sub(m.signalAt) >= lameDuck
	if !m.leaving && !stopped {
		require.NoError(t, err)
		m.running[id] = movable
		return
	}
	var refusal *waxwingpick.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, waxwingpick.OutcomeNotRun, refusal.Outcome)
}

func (m *machine) pick(t *rapid.T, from map[string]bool) string {
	var ids []string
	for i := range m.ids + 1 {
		if _, ok := from[fmt.Sprint(i)]; ok {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing to pick")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *machine) end(t *rapid.T) {
	id := m.pick(t, m.running)
	m.gate.Leave(id)
	delete(m.running, id)
	delete(m.moving, id)
}

func (m *machine) moves(t *rapid.T) {
	for _, id := range m.gate.Moves(m.now) {
		require.True(t, m.leaving && !m.by.IsZero(), "moves without a date")
		require.False(t, m.now.Before(m.by.Add(-margin)), "moves too early")
		require.True(t, m.running[id], "moves what may not move or does not run")
		require.False(t, m.moving[id], "moves twice at once")
		m.moving[id] = true
	}
	require.LessOrEqual(t, len(m.moving), movesInFlight)
}

func (m *machine) moved(t *rapid.T) {
	id := m.pick(t, m.moving)
	ok := rapid.Bool().Draw(t, "ok")
	m.gate.Moved(m.now, id, ok)
	delete(m.moving, id)
	if ok {
		delete(m.running, id)
	}
}

func (m *machine) announce(t *rapid.T) {
	m.leaving = true
	m.by = time.Time{}
	if rapid.Bool().Draw(t, "dated") {
		m.by = m.now.Add(2 * margin)
	}
	m.gate.Announce(m.by)
}

func (m *machine) stop(_ *rapid.T) {
	m.signals++
	if m.signals == 1 {
		m.signalAt = m.now
	}
	m.gate.Stop(m.now)
}

func (m *machine) check(t *rapid.T) {
	phase := m.gate.Phase(m.now)
	require.Equal(t, len(m.running), m.gate.Running())
	require.Equal(t, m.signals > 1, phase == drain.PhaseCut)
	require.Equal(t, m.leaving || m.signals > 0, !m.gate.Ready())
	if phase == drain.PhaseDrained {
		require.Empty(t, m.running, "drained while work runs")
		require.False(t, m.gate.Ready())
	}
	over := m.leaving || m.signals == 1 && m.now.Sub(m.signalAt) >= lameDuck
	if over && m.signals < 2 && len(m.running) == 0 {
		require.Equal(t, drain.PhaseDrained, phase, "never drained")
	}
}

// property drives a gate in any order of events against the model.
func property(wrap func(*drain.Gate) gate) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := &machine{
			gate:    wrap(newGate(t)),
			now:     time.Unix(1_000_000, 0),
			running: make(map[string]bool),
			moving:  make(map[string]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter":    m.enter,
			"end":      m.end,
			"moves":    m.moves,
			"moved":    m.moved,
			"announce": m.announce,
			"withdraw": func(*rapid.T) {
				m.leaving = false
				m.by = time.Time{}
				m.gate.Withdraw()
			},
			"stop": m.stop,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
			"": m.check,
		})
	}
}

func TestGateDrainsWithoutCutting(t *testing.T) {
	rapid.Check(t, property(func(g *drain.Gate) gate { return g }))
}

// hinted leaves it to the entries to send a leaving target nothing.
type hinted struct{ *drain.Gate }

func (hinted) Announce(time.Time) {}

// hasty is drained as soon as it is not ready.
type hasty struct{ *drain.Gate }

func (g hasty) Phase(now time.Time) drain.Phase {
	if !g.Ready() {
		return drain.PhaseDrained
	}
	return g.Gate.Phase(now)
}

// abrupt cuts at the first signal.
type abrupt struct{ *drain.Gate }

func (g abrupt) Stop(now time.Time) drain.Phase {
	g.Gate.Stop(now)
	return g.Gate.Stop(now)
}

// final ignores that a leave is withdrawn.
type final struct{ *drain.Gate }

func (final) Withdraw() {}

func TestNaiveVariantsAreCaught(t *testing.T) {
	variants := map[string]func(*drain.Gate) gate{
		"only a hint to the entries": func(g *drain.Gate) gate { return hinted{Gate: g} },
		"drained at once":            func(g *drain.Gate) gate { return hasty{Gate: g} },
		"the first signal cuts":      func(g *drain.Gate) gate { return abrupt{Gate: g} },
		"a leave is final":           func(g *drain.Gate) gate { return final{Gate: g} },
	}
	for name, wrap := range variants {
		t.Run(name, func(t *testing.T) {
			require.True(t, rapidtest.Fails(t, property(wrap)))
		})
	}
}

// TestMovableWorkIsOfferedBeforeTheDate shows that with working moves nothing movable is left at the date.
func TestMovableWorkIsOfferedBeforeTheDate(t *testing.T) {
	g := newGate(t)
	now := time.Unix(1_000_000, 0)
	for i := range 20 {
		require.NoError(t, g.Enter(now, fmt.Sprint(i), true))
	}
	by := now.Add(2 * margin)
	g.Announce(by)
	for now.Before(by) {
		for _, id := range g.Moves(now) {
			g.Moved(now, id, true)
		}
		now = now.Add(time.Second)
	}
	require.Equal(t, drain.PhaseDrained, g.Phase(now))
}

func BenchmarkEnterLeave(b *testing.B) {
	g := newGate(b)
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		_ = g.Enter(now, "a", true)
		g.Leave("a")
	}
}

// TestWorkThatOutlastsTheProcessIsRefused replays a stop: a request that came 3.2 s after the signal and took 4 s was cut.
func TestWorkThatOutlastsTheProcessIsRefused(t *testing.T) {
	stopped := time.Unix(100, 0)
	for _, tc := range []struct {
		name  string
		after time.Duration
		lasts time.Duration
		taken bool
	}{
		{name: "long at once", after: 0, lasts: 6 * time.Second, taken: true},
		{name: "long before callers have heard", after: 2300 * time.Millisecond, lasts: 6 * time.Second, taken: true},
		{name: "long afterwards", after: 3200 * time.Millisecond, lasts: 6 * time.Second},
		{name: "short afterwards", after: 3200 * time.Millisecond, lasts: 1500 * time.Millisecond, taken: true},
		{name: "short at the end", after: 4900 * time.Millisecond, lasts: 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, err := drain.New(drain.WithLameDuck(4800*time.Millisecond), drain.WithEnd(7300*time.Millisecond))
			require.NoError(t, err)
			require.NoError(t, g.EnterFor(stopped, "before", time.Hour))
			g.Stop(stopped)
			err = g.EnterFor(stopped.Add(tc.after), "id", tc.lasts)
			require.Equal(t, tc.taken, err == nil, "%v", err)
		})
	}
	_, err := drain.New(drain.WithEnd(-1))
	require.Error(t, err)
}
