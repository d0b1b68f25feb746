package daemon_test

import (
	"context"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
	"waxwingpick/internal/demo"
	"waxwingpick/internal/loopback"
	"waxwingpick/io/sidecar"
)

const (
	quickCallers = 4
	longCallers  = 2
	orderCallers = 4
	// steadyTime is the time under load before the faults, and healedTime that behind them.
	steadyTime = 300 * time.Millisecond
	healedTime = time.Second
	// faultTime is longer than a booking's deadline and than a stream may stay silent.
	faultTime = sidecar.ReadIdle + time.Second
)

// fault breaks something, and heals it again.
type fault struct {
	name string
	do   func(s *system)
	heal func(s *system)
	// planned says that nothing may fail or be cut, as the fault is an operator's change.
	planned bool
	// cuts says that answers may end without an explicit failure, as the process that would tell is gone.
	cuts bool
}

// cutOf cuts one way of a relay.
func cutOf(name string, d loopback.Direction, of func(s *system) *relay) fault {
	return fault{
		name: name,
		do:   func(s *system) { of(s).Cut(d) },
		heal: func(s *system) { of(s).Heal() },
	}
}

// toEngineSidecar and its like are the relays that cuts are made at.
func toEngineSidecar(s *system) *relay {
	return s.entry(0).data[s.engineSidecar(s.changing).instance.ID]
}
func toPlainSidecar(s *system) *relay { return s.entry(0).data[s.plainSidecar(0).instance.ID] }
func controlOfEngine(s *system) *relay {
	return s.entry(0).control[s.engineSidecar(s.changing).instance.ID]
}
func controlOfPlain(s *system) *relay  { return s.entry(0).control[s.plainSidecar(0).instance.ID] }
func toEngine(s *system) *relay        { return s.engineSidecar(s.changing).target }
func toService(s *system) *relay       { return s.plainSidecar(0).target }
func entryToKeyValue(s *system) *relay { return s.entry(0).kv }

func cuts() []fault {
	return []fault{
		cutOf("requests to an engine's sidecar cut", forward, toEngineSidecar),
		cutOf("answers of an engine's sidecar cut", back, toEngineSidecar),
		cutOf("requests to a service's sidecar cut", forward, toPlainSidecar),
		cutOf("answers of a service's sidecar cut", back, toPlainSidecar),
		cutOf("control calls to an engine's sidecar cut", forward, controlOfEngine),
		cutOf("control answers of an engine's sidecar cut", back, controlOfEngine),
		cutOf("control calls to a service's sidecar cut", forward, controlOfPlain),
		cutOf("control answers of a service's sidecar cut", back, controlOfPlain),
		cutOf("calls to an engine cut", forward, toEngine),
		cutOf("answers of an engine cut", back, toEngine),
		cutOf("calls to a service cut", forward, toService),
		cutOf("answers of a service cut", back, toService),
		cutOf("an entry's calls to the key-value service cut", forward, entryToKeyValue),
		cutOf("the key-value service's answers to an entry cut", back, entryToKeyValue),
	}
}

// change is an operator's change, which is made again behind the faults where it was not accepted.
func change(name string, edit func(s *system) config.Edit) fault {
	return fault{
		name:    name,
		do:      func(s *system) { s.accepted = s.tryCommit(edit(s)) == nil },
		heal:    func(s *system) { s.commitUnless(s.accepted, edit(s)) },
		planned: true,
	}
}

func presetSwitch() fault {
	return change("preset switch", func(*system) config.Edit {
		return config.SwitchPreset("peak")
	})
}

func leave() fault {
	return change("leave", func(s *system) config.Edit {
		return config.AnnounceLeave(s.engineSidecar(1).instance.ID, time.Time{}, time.Now().UTC())
	})
}

// roleChange is a preset switch that has led to an order for an engine, which the other faults hit.
func roleChange() fault {
	f := presetSwitch()
	f.do = func(s *system) {
		s.commit(config.SwitchPreset("peak"))
		s.await(func() bool {
			i := slices.IndexFunc(s.plan().Targets, prefills)
			s.changing = max(i, 0)
			return i >= 0
		})
	}
	f.heal = func(*system) {}
	return f
}

func prefills(target plan.Target) bool { return target.Order.Config.Role == waxwingpick.RolePrefill }

func killOf(name string, cuts bool, of func(s *system) *node) fault {
	return fault{
		name: name,
		do:   func(s *system) { s.kill(of(s)) },
		heal: func(s *system) { s.restart(of(s)) },
		cuts: cuts,
	}
}

func pauseOf(name string, of func(s *system) *node) fault {
	return fault{
		name: name,
		do:   func(s *system) { s.signal(of(s), syscall.SIGSTOP) },
		heal: func(s *system) { s.signal(of(s), syscall.SIGCONT) },
	}
}

func entryOf(s *system) *node         { return s.entry(0) }
func engineSidecarOf(s *system) *node { return s.engineSidecar(0) }
func plainSidecarOf(s *system) *node  { return s.plainSidecar(0) }

func kills() []fault {
	return []fault{
		killOf("entry killed", true, entryOf),
		killOf("engine's sidecar killed", false, engineSidecarOf),
		killOf("service's sidecar killed", false, plainSidecarOf),
	}
}

// kinds are the faults that pairs are drawn from, by kind.
func kinds() [][]fault {
	return [][]fault{
		kills()[:1],
		kills()[1:],
		{
			pauseOf("engine's sidecar paused", engineSidecarOf),
			pauseOf("service's sidecar paused", plainSidecarOf),
		},
		cuts(),
		{{
			name: "engine crash",
			do:   func(s *system) { s.engines[0].Crash() },
			heal: func(*system) {},
		}},
		{
			{
				name: "key-value service down",
				do:   func(s *system) { s.store.Store().SetDown(true) },
				heal: func(s *system) { s.store.Store().SetDown(false) },
			},
			{
				name: "key-value service slow",
				do:   func(s *system) { s.store.Store().SetDelay(faultTime) },
				heal: func(s *system) { s.store.Store().SetDelay(0) },
			},
		},
		{
			{
				name: "key-value answers lost",
				do:   func(s *system) { s.store.Store().LoseAnswers(5) },
				heal: func(s *system) { s.store.Store().LoseAnswers(0) },
			},
			{
				name: "answers of services lost",
				do:   func(s *system) { s.loseBookings(3) },
				heal: func(*system) {},
			},
		},
		{presetSwitch()},
		{leave()},
	}
}

// loseBookings loses the next answers of each service after their effect.
func (s *system) loseBookings(n int) {
	for _, app := range s.services {
		app.Faults().LoseAnswers("/bookings", n)
	}
}

// timed is a fault that begins at a time after the load.
type timed struct {
	fault
	after time.Duration
}

// runUnderFaults brings the faults about under load, heals them, and checks what callers saw and targets ran.
func runUnderFaults(t *testing.T, faults ...timed) {
	s := startSystem(t)
	l := s.load()
	err := l.Drive(t.Context(), quickCallers, longCallers, orderCallers, func(context.Context) error {
		time.Sleep(steadyTime)
		s.breakAndHeal(faults)
		time.Sleep(healedTime)
		return nil
	})
	require.NoError(t, err)
	healed := time.Now()
	s.awaitAgreed()
	t.Logf("all agree %s after the load", time.Since(healed).Round(time.Millisecond))
	check(t, s, l, faults)
}

// breakAndHeal begins each fault at its time, and heals all in the same order after the last has lasted.
func (s *system) breakAndHeal(faults []timed) {
	for _, f := range faults {
		time.Sleep(f.after)
		s.t.Logf("fault: %s", f.name)
		f.do(s)
	}
	time.Sleep(faultTime)
	for _, f := range faults {
		f.heal(s)
	}
}

func check(t *testing.T, s *system, l *demo.Load, faults []timed) {
	t.Helper()
	seen := l.Summary(s.engines, s.services)
	require.NoError(t, seen.Table(t.Output()))
	require.NoError(t, seen.CheckFaulted(), "first failure: %v", l.First())
	require.Positive(t, seen.Quick.InTime)
	require.Positive(t, seen.OrdersRun)
	planned, cuts := true, false
	for _, f := range faults {
		planned = planned && f.planned
		cuts = cuts || f.cuts
	}
	if planned {
		require.NoError(t, seen.Check())
	}
	if !cuts {
		require.Zero(t, seen.Quick.Cut+seen.Long.Cut+seen.Orders.Cut)
	}
}

// TestFaultsDuringARoleChange cuts each way between two processes, and kills processes, while streams and bookings run
// and a preset switch changes a role.
func TestFaultsDuringARoleChange(t *testing.T) {
	t.Parallel()
	for _, f := range append(cuts(), kills()...) {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runUnderFaults(t, timed{fault: roleChange()}, timed{
				fault: f,
			})
		})
	}
}

// TestPairsOfFaults draws two faults of different kinds and their moments; WAXWINGPICK_LONG draws more, from a new seed.
func TestPairsOfFaults(t *testing.T) {
	t.Parallel()
	const pairs, longPairs = 10, 200
	n, seed := pairs, 0
	if os.Getenv("WAXWINGPICK_LONG") != "" {
		n, seed = longPairs, int(time.Now().UnixNano())
	}
	for i := range n {
		pair := pairOfFaults().Example(seed + i)
		t.Run(pair[0].name+" and "+pair[1].name, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d: second after %s", seed+i, pair[1].after)
			runUnderFaults(t, pair...)
		})
	}
}

func pairOfFaults() *rapid.Generator[[]timed] {
	const maxGap = 2000
	return rapid.Custom(func(t *rapid.T) []timed {
		table := kinds()
		first := rapid.IntRange(0, len(table)-1).Draw(t, "first kind")
		second := (first + rapid.IntRange(1, len(table)-1).Draw(t, "second kind")) % len(table)
		return []timed{{
			fault: rapid.SampledFrom(table[first]).Draw(t, "first"),
		}, {
			fault: rapid.SampledFrom(table[second]).Draw(t, "second"),
			after: time.Duration(rapid.IntRange(0, maxGap).Draw(t, "gap")) * time.Millisecond,
		}}
	})
}
