package demo

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
)

func demoOptions(t *testing.T, fault Fault) Options {
	t.Helper()
	acquireClusterSlot(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Options{
		Config:   testConfig(),
		Zones:    []waxwingpick.AvailabilityZone{"at-ost-a", "at-ost-b"},
		Fault:    fault,
		Progress: t.Output(),
		Log:      log,
	}
}

func TestRunKeepsItsPromises(t *testing.T) {
	t.Parallel()
	s, err := Run(t.Context(), demoOptions(t, FaultNone))
	require.NoError(t, err)
	require.NoError(t, s.Table(t.Output()))
	require.NoError(t, s.Check())
	require.Positive(t, s.Quick.InTime)
	require.Positive(t, s.Long.InTime)
	require.Positive(t, s.Resent)
}

// TestDemoPassesForEachSample runs the demo command, as in the README, with each sample configuration.
func TestDemoPassesForEachSample(t *testing.T) {
	t.Parallel()
	for _, sample := range []string{"tanzplan", "cacaotera"} {
		t.Run(sample, func(t *testing.T) {
			t.Parallel()
			acquireClusterSlot(t)
			c := NewCommand(t.Output(), t.Output())
			c.sample = sample
			c.output = outputTable
			require.NoError(t, c.run(t.Context()))
		})
	}
}

func TestRunDetectsInjectedFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []Fault{FaultDoubleRun, FaultCut} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			s, err := Run(t.Context(), demoOptions(t, fault))
			require.NoError(t, err)
			require.ErrorIs(t, s.Check(), ErrGuarantee)
		})
	}
}
