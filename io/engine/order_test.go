package engine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	standin "waxwingpick/internal/standin/engine"
)

func TestOrders(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		want := waxwingpick.EngineConfig{
			Role:    waxwingpick.RoleDecode,
			Model:   "m2",
			Adapter: "lora",
			Version: "9",
		}
		other := want
		other.Version = "10"
		tests := []struct {
			name   string
			faults standin.Faults
			orders []waxwingpick.EngineOrder
			err    error
			phase  waxwingpick.OrderPhase
			active waxwingpick.EngineConfig
			check  standin.Violations
		}{
			{name: "taken", orders: []waxwingpick.EngineOrder{{Number: 4, Config: want}}, phase: waxwingpick.OrderDone, active: want},
			{name: "same order again", orders: []waxwingpick.EngineOrder{{Number: 4, Config: want}, {Number: 4, Config: want}}, phase: waxwingpick.OrderDone, active: want},
			{name: "stale refused", orders: []waxwingpick.EngineOrder{{Number: 4, Config: want}, {Number: 3, Config: other}}, err: waxwingpick.ErrStaleFencingNumber, phase: waxwingpick.OrderDone, active: want},
			{name: "same number, other order", orders: []waxwingpick.EngineOrder{{Number: 4, Config: want}, {Number: 4, Config: other}}, err: waxwingpick.ErrStaleFencingNumber, phase: waxwingpick.OrderDone, active: want},
			{
				name:   "stale accepted if the number is ignored",
				faults: standin.Faults{IgnoreFencing: true},
				orders: []waxwingpick.EngineOrder{{Number: 4, Config: want}, {Number: 3, Config: other}},
				phase:  waxwingpick.OrderDone,
				active: other,
				check:  standin.Violations{StaleOrders: 1, ConflictingOrders: 1},
			},
			{
				name:   "conflicting while another runs",
				orders: []waxwingpick.EngineOrder{{Number: 4, Config: want}, {Number: 5, Config: other}},
				phase:  waxwingpick.OrderDone,
				active: other,
				check:  standin.Violations{ConflictingOrders: 1},
			},
			{name: "fails", faults: standin.Faults{FailOrders: 1}, orders: []waxwingpick.EngineOrder{{Number: 4, Config: want}}, phase: waxwingpick.OrderFailed, active: bootConfig},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				f := newFixture(t, impl)
				f.engine.SetFaults(test.faults)
				var err error
				for _, order := range test.orders {
					err = f.client.Submit(t.Context(), order)
				}
				require.ErrorIs(t, err, test.err)
				state, err := f.client.State(t.Context())
				require.NoError(t, err)
				require.Equal(t, waxwingpick.OrderRunning, state.Phase)
				f.clock.Advance(time.Second)
				state, err = f.client.State(t.Context())
				require.NoError(t, err)
				require.Equal(t, test.phase, state.Phase)
				require.Equal(t, test.active, state.Active)
				require.Equal(t, test.check, f.engine.Record().Violations)
			})
		}
	})
}

var bootConfig = waxwingpick.EngineConfig{
	Role:    waxwingpick.RoleMixed,
	Model:   "standin",
	Version: "1",
}

func TestCrashDuringOrder(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		before := f.engine.State().BootID
		f.engine.SetFaults(standin.Faults{CrashInOrder: 1})
		order := waxwingpick.EngineOrder{
			Number: 2,
			Config: waxwingpick.EngineConfig{Model: "m2"},
		}
		require.NoError(t, f.client.Submit(t.Context(), order))
		f.clock.Advance(time.Second)
		state, err := f.client.State(t.Context())
		require.NoError(t, err)
		require.NotEqual(t, before, state.BootID)
		require.Equal(t, waxwingpick.OrderFailed, state.Phase)
		require.Equal(t, bootConfig, state.Active)
		require.NoError(t, f.client.Submit(t.Context(), order))
		f.clock.Advance(time.Second)
		require.Equal(t, order.Config, f.engine.State().Active)
	})
}

func TestOrderTakesEffectThoughResponseIsLost(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		f.engine.LoseResponses("/admin/order", 1)
		cfg := waxwingpick.EngineConfig{Model: "m2"}
		err := f.client.Submit(t.Context(), waxwingpick.EngineOrder{Number: 1, Config: cfg})
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
		f.clock.Advance(time.Second)
		require.Equal(t, cfg, f.engine.State().Active)
	})
}
