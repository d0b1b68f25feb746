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
	// warmUpTime is the time under load before the first fault, and recoveryTime the time under load after the last fault
	// has been healed.
	warmUpTime   = 300 * time.Millisecond
	recoveryTime = time.Second
	// faultDuration is longer than a booking's deadline and than the time without a frame after which a stream is broken.
	faultDuration = sidecar.FrameTimeout + time.Second
)

// fault is a fault that a test injects and heals later.
type fault struct {
	name   string
	inject func(s *system)
	heal   func(s *system)
	// configChange is true for an operator's change, during which no request may fail and no response may be truncated.
	configChange bool
	// mayCutResponses is true if responses may end without an explicit failure, because the process that would report the
	// failure is killed.
	mayCutResponses bool
}

// cutFault blocks one direction of a relay.
func cutFault(name string, d loopback.Direction, relayOf func(s *system) *relay) fault {
	return fault{
		name:   name,
		inject: func(s *system) { relayOf(s).Cut(d) },
		heal:   func(s *system) { relayOf(s).Heal() },
	}
}

// engineSidecarData and the functions below return the relays to which the faults apply.
func engineSidecarData(s *system) *relay {
	return s.entry(0).data[s.engineSidecar(s.roleChangeEngine).instance.ID]
}
func plainSidecarData(s *system) *relay { return s.entry(0).data[s.plainSidecar(0).instance.ID] }
func engineSidecarControl(s *system) *relay {
	return s.entry(0).control[s.engineSidecar(s.roleChangeEngine).instance.ID]
}

func plainSidecarControl(s *system) *relay { return s.entry(0).control[s.plainSidecar(0).instance.ID] }
func engineRelay(s *system) *relay         { return s.engineSidecar(s.roleChangeEngine).target }
func serviceRelay(s *system) *relay        { return s.plainSidecar(0).target }
func entryKeyValue(s *system) *relay       { return s.entry(0).kv }

func cutFaults() []fault {
	return []fault{
		cutFault("requests to an engine's sidecar cut", forward, engineSidecarData),
		cutFault("responses of an engine's sidecar cut", back, engineSidecarData),
		cutFault("requests to a service's sidecar cut", forward, plainSidecarData),
		cutFault("responses of a service's sidecar cut", back, plainSidecarData),
		cutFault("control calls to an engine's sidecar cut", forward, engineSidecarControl),
		cutFault("control responses of an engine's sidecar cut", back, engineSidecarControl),
		cutFault("control calls to a service's sidecar cut", forward, plainSidecarControl),
		cutFault("control responses of a service's sidecar cut", back, plainSidecarControl),
		cutFault("calls to an engine cut", forward, engineRelay),
		cutFault("responses of an engine cut", back, engineRelay),
		cutFault("calls to a service cut", forward, serviceRelay),
		cutFault("responses of a service cut", back, serviceRelay),
		cutFault("an entry's calls to the key-value service cut", forward, entryKeyValue),
		cutFault("the key-value service's responses to an entry cut", back, entryKeyValue),
	}
}

// configChangeFault makes an operator's change. If the change is not accepted during the other faults, it is made again
// after they have been healed.
func configChangeFault(name string, edit func(s *system) config.Edit) fault {
	return fault{
		name:         name,
		inject:       func(s *system) { s.changeAccepted = s.tryCommit(edit(s)) == nil },
		heal:         func(s *system) { s.commitUnless(s.changeAccepted, edit(s)) },
		configChange: true,
	}
}

func presetSwitch() fault {
	return configChangeFault("preset switch", func(*system) config.Edit {
		return config.SwitchPreset("peak")
	})
}

func leave() fault {
	return configChangeFault("leave", func(s *system) config.Edit {
		return config.AnnounceLeave(s.engineSidecar(1).instance.ID, time.Time{}, time.Now().UTC())
	})
}

// roleChange switches the preset and waits until the plan changes the role of an engine. The other faults then affect
// that engine.
func roleChange() fault {
	f := presetSwitch()
	f.inject = func(s *system) {
		s.commit(config.SwitchPreset("peak"))
		s.await(func() bool {
			i := slices.IndexFunc(s.plan().Targets, hasPrefillRole)
			s.roleChangeEngine = max(i, 0)
			return i >= 0
		})
	}
	f.heal = func(*system) {}
	return f
}

func hasPrefillRole(target plan.Target) bool {
	return target.Order.Config.Role == waxwingpick.RolePrefill
}

func killFault(name string, mayCutResponses bool, nodeOf func(s *system) *node) fault {
	return fault{
		name:            name,
		inject:          func(s *system) { s.kill(nodeOf(s)) },
		heal:            func(s *system) { s.restart(nodeOf(s)) },
		mayCutResponses: mayCutResponses,
	}
}

func pauseFault(name string, nodeOf func(s *system) *node) fault {
	return fault{
		name:   name,
		inject: func(s *system) { s.signal(nodeOf(s), syscall.SIGSTOP) },
		heal:   func(s *system) { s.signal(nodeOf(s), syscall.SIGCONT) },
	}
}

func firstEntry(s *system) *node         { return s.entry(0) }
func firstEngineSidecar(s *system) *node { return s.engineSidecar(0) }
func firstPlainSidecar(s *system) *node  { return s.plainSidecar(0) }

func killFaults() []fault {
	return []fault{
		killFault("entry killed", true, firstEntry),
		killFault("engine's sidecar killed", false, firstEngineSidecar),
		killFault("service's sidecar killed", false, firstPlainSidecar),
	}
}

// faultKinds returns the faults from which pairs are drawn, grouped by kind.
func faultKinds() [][]fault {
	return [][]fault{
		killFaults()[:1],
		killFaults()[1:],
		{
			pauseFault("engine's sidecar paused", firstEngineSidecar),
			pauseFault("service's sidecar paused", firstPlainSidecar),
		},
		cutFaults(),
		{{
			name:   "engine crash",
			inject: func(s *system) { s.engines[0].Crash() },
			heal:   func(*system) {},
		}},
		{
			{
				name:   "key-value service down",
				inject: func(s *system) { s.store.Store().SetDown(true) },
				heal:   func(s *system) { s.store.Store().SetDown(false) },
			},
			{
				name:   "key-value service slow",
				inject: func(s *system) { s.store.Store().SetDelay(faultDuration) },
				heal:   func(s *system) { s.store.Store().SetDelay(0) },
			},
		},
		{
			{
				name:   "key-value responses lost",
				inject: func(s *system) { s.store.Store().LoseResponses(5) },
				heal:   func(s *system) { s.store.Store().LoseResponses(0) },
			},
			{
				name:   "responses of services lost",
				inject: func(s *system) { s.loseBookingResponses(3) },
				heal:   func(*system) {},
			},
		},
		{presetSwitch()},
		{leave()},
	}
}

// loseBookingResponses drops the next n responses of each service to bookings, after the bookings have taken effect.
func (s *system) loseBookingResponses(n int) {
	for _, app := range s.services {
		app.Faults().LoseResponses("/bookings", n)
	}
}

// timedFault is a fault that is injected some time after the previous one.
type timedFault struct {
	fault
	after time.Duration
}

// runWithFaults injects and heals the faults under load. It then checks the responses that callers received and the
// requests that targets ran.
func runWithFaults(t *testing.T, faults ...timedFault) {
	s := startSystem(t)
	l := s.load()
	err := l.RunDuring(t.Context(), quickCallers, longCallers, orderCallers, func(context.Context) error {
		time.Sleep(warmUpTime)
		s.injectAndHeal(faults)
		time.Sleep(recoveryTime)
		return nil
	})
	require.NoError(t, err)
	healed := time.Now()
	s.awaitConverged()
	t.Logf("all processes converged %s after the load", time.Since(healed).Round(time.Millisecond))
	checkSummary(t, s, l, faults)
}

// injectAndHeal injects the faults, each after its delay. After the last one has lasted faultDuration, it heals all
// faults in the same order.
func (s *system) injectAndHeal(faults []timedFault) {
	for _, f := range faults {
		time.Sleep(f.after)
		s.t.Logf("fault: %s", f.name)
		f.inject(s)
	}
	time.Sleep(faultDuration)
	for _, f := range faults {
		f.heal(s)
	}
}

func checkSummary(t *testing.T, s *system, l *demo.Load, faults []timedFault) {
	t.Helper()
	summary := l.Summary(s.engines, s.services)
	require.NoError(t, summary.Table(t.Output()))
	require.NoError(t, summary.CheckFaulted(), "first failure: %v", l.FirstError())
	require.Positive(t, summary.Quick.InTime)
	require.Positive(t, summary.OrdersRun)
	configChange, mayCutResponses := true, false
	for _, f := range faults {
		configChange = configChange && f.configChange
		mayCutResponses = mayCutResponses || f.mayCutResponses
	}
	if configChange {
		require.NoError(t, summary.Check())
	}
	if !mayCutResponses {
		require.Zero(t, summary.Quick.Cut+summary.Long.Cut+summary.Orders.Cut)
	}
}

// TestFaultsDuringARoleChange blocks each direction between two processes, and kills each kind of process, while streams
// and bookings run and a preset switch changes the role of an engine.
func TestFaultsDuringARoleChange(t *testing.T) {
	t.Parallel()
	for _, f := range append(cutFaults(), killFaults()...) {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runWithFaults(t, timedFault{fault: roleChange()}, timedFault{
				fault: f,
			})
		})
	}
}

// TestPairsOfFaults combines two random faults of different kinds with a random delay between them. The seeds are fixed.
// With WAXWINGPICK_LONG set it runs more pairs from a new seed.
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
			t.Logf("seed %d: second fault after %s", seed+i, pair[1].after)
			runWithFaults(t, pair...)
		})
	}
}

func pairOfFaults() *rapid.Generator[[]timedFault] {
	const maxGap = 2000
	return rapid.Custom(func(t *rapid.T) []timedFault {
		table := faultKinds()
		first := rapid.IntRange(0, len(table)-1).Draw(t, "first kind")
		second := (first + rapid.IntRange(1, len(table)-1).Draw(t, "second kind")) % len(table)
		return []timedFault{{
			fault: rapid.SampledFrom(table[first]).Draw(t, "first"),
		}, {
			fault: rapid.SampledFrom(table[second]).Draw(t, "second"),
			after: time.Duration(rapid.IntRange(0, maxGap).Draw(t, "gap")) * time.Millisecond,
		}}
	})
}
