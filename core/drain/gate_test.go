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
	Done(id string)
	StartDrain(drainDeadline time.Time)
	CancelDrain()
	Stop(now time.Time) drain.Phase
	Ready() bool
	Phase(now time.Time) drain.Phase
	Running() int
	Moves(now time.Time) []string
	FinishMove(now time.Time, id string, ok bool)
}

// model is a simple model of a gate: the running work and the announced drain.
type model struct {
	gate          gate
	now           time.Time
	draining      bool
	drainDeadline time.Time
	signals       int
	signalAt      time.Time
	running       map[string]bool
	moving        map[string]bool
	ids           int
}

func newGate(t require.TestingT) *drain.Gate {
	gate, err := drain.New(drain.WithMoves(margin, movesInFlight), drain.WithLameDuck(lameDuck))
	require.NoError(t, err)
	return gate
}

func (m *model) enter(t *rapid.T) {
	m.ids++
	id := fmt.Sprint(m.ids)
	movable := rapid.Bool().Draw(t, "movable")
	err := m.gate.Enter(m.now, id, movable)
	stopped := m.signals > 1 || m.signals == 1 && m.now.Sub(m.signalAt) >= lameDuck
	if !m.draining && !stopped {
		require.NoError(t, err)
		m.running[id] = movable
		return
	}
	var refusal *waxwingpick.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, waxwingpick.OutcomeNotRun, refusal.Outcome)
}

func (m *model) draw(t *rapid.T, from map[string]bool) string {
	var ids []string
	for i := range m.ids + 1 {
		if _, ok := from[fmt.Sprint(i)]; ok {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing to draw")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *model) end(t *rapid.T) {
	id := m.draw(t, m.running)
	m.gate.Done(id)
	delete(m.running, id)
	delete(m.moving, id)
}

func (m *model) moves(t *rapid.T) {
	for _, id := range m.gate.Moves(m.now) {
		require.True(t, m.draining && !m.drainDeadline.IsZero(), "moves without a deadline")
		require.False(t, m.now.Before(m.drainDeadline.Add(-margin)), "moves too early")
		require.True(t, m.running[id], "moves work that is not movable or not running")
		require.False(t, m.moving[id], "moves the same work twice")
		m.moving[id] = true
	}
	require.LessOrEqual(t, len(m.moving), movesInFlight)
}

func (m *model) moved(t *rapid.T) {
	id := m.draw(t, m.moving)
	ok := rapid.Bool().Draw(t, "ok")
	m.gate.FinishMove(m.now, id, ok)
	delete(m.moving, id)
	if ok {
		delete(m.running, id)
	}
}

func (m *model) announce(t *rapid.T) {
	m.draining = true
	m.drainDeadline = time.Time{}
	if rapid.Bool().Draw(t, "dated") {
		m.drainDeadline = m.now.Add(2 * margin)
	}
	m.gate.StartDrain(m.drainDeadline)
}

func (m *model) stop(_ *rapid.T) {
	m.signals++
	if m.signals == 1 {
		m.signalAt = m.now
	}
	m.gate.Stop(m.now)
}

func (m *model) check(t *rapid.T) {
	phase := m.gate.Phase(m.now)
	require.Equal(t, len(m.running), m.gate.Running())
	require.Equal(t, m.signals > 1, phase == drain.PhaseCut)
	require.Equal(t, m.draining || m.signals > 0, !m.gate.Ready())
	if phase == drain.PhaseDrained {
		require.Empty(t, m.running, "drained while work runs")
		require.False(t, m.gate.Ready())
	}
	drained := m.draining || m.signals == 1 && m.now.Sub(m.signalAt) >= lameDuck
	if drained && m.signals < 2 && len(m.running) == 0 {
		require.Equal(t, drain.PhaseDrained, phase, "never drained")
	}
}

// property applies events in any order to a gate and compares it with the model.
func property(wrap func(*drain.Gate) gate) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := &model{
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
				m.draining = false
				m.drainDeadline = time.Time{}
				m.gate.CancelDrain()
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

// hintOnly still admits work to a draining target and relies on the entries to send none.
type hintOnly struct{ *drain.Gate }

func (hintOnly) StartDrain(time.Time) {}

// drainsImmediately reports PhaseDrained as soon as it is not ready.
type drainsImmediately struct{ *drain.Gate }

func (g drainsImmediately) Phase(now time.Time) drain.Phase {
	if !g.Ready() {
		return drain.PhaseDrained
	}
	return g.Gate.Phase(now)
}

// cutsAtFirstSignal interrupts work at the first signal.
type cutsAtFirstSignal struct{ *drain.Gate }

func (g cutsAtFirstSignal) Stop(now time.Time) drain.Phase {
	g.Gate.Stop(now)
	return g.Gate.Stop(now)
}

// ignoresWithdrawal continues a drain that was cancelled.
type ignoresWithdrawal struct{ *drain.Gate }

func (ignoresWithdrawal) CancelDrain() {}

func TestNaiveVariantsAreCaught(t *testing.T) {
	variants := map[string]func(*drain.Gate) gate{
		"only a hint to the entries":  func(g *drain.Gate) gate { return hintOnly{Gate: g} },
		"drained immediately":         func(g *drain.Gate) gate { return drainsImmediately{Gate: g} },
		"the first signal interrupts": func(g *drain.Gate) gate { return cutsAtFirstSignal{Gate: g} },
		"a drain can't be cancelled":  func(g *drain.Gate) gate { return ignoresWithdrawal{Gate: g} },
	}
	for name, wrap := range variants {
		t.Run(name, func(t *testing.T) {
			require.True(t, rapidtest.Fails(t, property(wrap)))
		})
	}
}

// TestMovableWorkIsOfferedBeforeTheDate checks that no movable work is left at the drain's deadline if all moves succeed.
func TestMovableWorkIsOfferedBeforeTheDate(t *testing.T) {
	g := newGate(t)
	now := time.Unix(1_000_000, 0)
	for i := range 20 {
		require.NoError(t, g.Enter(now, fmt.Sprint(i), true))
	}
	drainDeadline := now.Add(2 * margin)
	g.StartDrain(drainDeadline)
	for now.Before(drainDeadline) {
		for _, id := range g.Moves(now) {
			g.FinishMove(now, id, true)
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
		g.Done("a")
	}
}

// TestWorkThatOutlastsTheProcessIsRefused reproduces a stop in which a request that arrived 3.2 s after the signal and
// took 4 s was interrupted.
func TestWorkThatOutlastsTheProcessIsRefused(t *testing.T) {
	stopped := time.Unix(100, 0)
	for _, tc := range []struct {
		name     string
		after    time.Duration
		duration time.Duration
		admitted bool
	}{
		{name: "long at once", after: 0, duration: 6 * time.Second, admitted: true},
		{name: "long before callers received the stop", after: 2300 * time.Millisecond, duration: 6 * time.Second, admitted: true},
		{name: "long afterwards", after: 3200 * time.Millisecond, duration: 6 * time.Second},
		{name: "short afterwards", after: 3200 * time.Millisecond, duration: 1500 * time.Millisecond, admitted: true},
		{name: "short at the end", after: 4900 * time.Millisecond, duration: 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, err := drain.New(drain.WithLameDuck(4800*time.Millisecond), drain.WithEnd(7300*time.Millisecond))
			require.NoError(t, err)
			require.NoError(t, g.EnterFor(stopped, "before", time.Hour))
			g.Stop(stopped)
			err = g.EnterFor(stopped.Add(tc.after), "id", tc.duration)
			require.Equal(t, tc.admitted, err == nil, "%v", err)
		})
	}
	_, err := drain.New(drain.WithEnd(-1))
	require.Error(t, err)
}
