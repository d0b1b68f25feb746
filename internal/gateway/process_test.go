package gateway

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/routetable"
	"waxwingpick/core/timer"
	"waxwingpick/io/prometheus"
)

// unused stands for the ports that a test does not call.
type unused struct {
	waxwingpick.KeyFeed
	waxwingpick.Dispatcher
}

// TestReadyOnlyOnceServicesHaveTheirTargets takes the steps of a start one by one, in both orders: a request that came
// between the last two found a service without targets.
func TestReadyOnlyOnceServicesHaveTheirTargets(t *testing.T) {
	table := routetable.New(1, nil, []routetable.Service{{
		Name: "app",
	}}, routetable.Limits{})
	for _, listFirst := range []bool{true, false} {
		metrics, err := prometheus.NewGateway()
		require.NoError(t, err)
		p, err := New(Options{
			Instance: "gateway",
			Feed:     unused{},
			Targets:  unused{},
			Timers:   timer.NewManual(time.Unix(0, 0)),
			Log:      logrus.New(),
			Metrics:  metrics,
		})
		require.NoError(t, err)
		targets := &targetsSink{
			process: p,
		}
		steps := []func(){
			func() { targets.replace(nil) },
			targets.changed,
			func() { p.table.Store(table) },
			p.updateServices,
		}
		if !listFirst {
			steps = []func(){
				func() { p.table.Store(table) },
				p.updateServices,
				func() { targets.replace(nil) },
				targets.changed,
			}
		}
		for _, step := range steps {
			require.Error(t, p.Ready())
			step()
		}
		require.NoError(t, p.Ready())
		require.NotNil(t, p.service("app"))
	}
}
