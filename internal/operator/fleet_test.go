package operator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/demo"
	"waxwingpick/internal/operator"
	"waxwingpick/io/yaml"
)

// fleetView is the part of the status output that the test checks.
type fleetView struct {
	Problem  string `json:"problem"`
	Revision int64  `json:"revision"`
	Fleet    struct {
		Entries []struct {
			Ready          bool   `json:"ready"`
			ConfigRevision int64  `json:"configRevision"`
			Preset         string `json:"preset"`
		} `json:"entries"`
		Targets []struct {
			ConfigRevision int64 `json:"configRevision"`
		} `json:"targets"`
	} `json:"fleet"`
}

// inForce reports whether all entries have applied the preset and the revision, and all targets the revision.
func (v fleetView) inForce(preset string, revision int64) bool {
	for _, e := range v.Fleet.Entries {
		if e.Preset != preset || e.ConfigRevision != revision {
			return false
		}
	}
	for _, t := range v.Fleet.Targets {
		if t.ConfigRevision != revision {
			return false
		}
	}
	return len(v.Fleet.Entries) > 0
}

func TestStatusTellsWhereARevisionIsInForce(t *testing.T) {
	r, err := yaml.LoadConfig("../../config/tanzplan.yaml")
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := demo.NewCluster(t.Context(), demo.Layout{
		Config:        r,
		Engines:       1,
		PlainServices: 1,
		Entries:       2,
		Zones:         []waxwingpick.AvailabilityZone{"at-ost-a"},
		Log:           log,
	})
	require.NoError(t, err)
	defer func() {
		require.NoError(t, c.Close(t.Context()))
	}()
	client := func(args ...string) (int, []byte) {
		var out bytes.Buffer
		env := operator.DefaultEnv()
		env.Stdout = &out
		env.Stderr = &out
		env.Getenv = func(name string) string {
			switch name {
			case operator.EnvKeyValue:
				return c.KeyValueAddr()
			case operator.EnvPlatform:
				return c.Platform().Addr()
			}
			return ""
		}
		return operator.Main(t.Context(), env, args), out.Bytes()
	}
	status := func() (int, fleetView) {
		code, out := client("status", "-output", "json")
		var v fleetView
		require.NoError(t, json.Unmarshal(out, &v), string(out))
		return code, v
	}
	code, out := client("preset", "switch", "peak")
	require.Zero(t, code, string(out))
	for {
		code, v := status()
		require.Zero(t, code)
		require.Equal(t, int64(2), v.Revision)
		require.Len(t, v.Fleet.Entries, 2)
		require.Len(t, v.Fleet.Targets, 2)
		if v.inForce("peak", 2) {
			break
		}
		waitFor(c.Timers(), 20*time.Millisecond)
	}
	c.Store().SetDown(true)
	code, v := status()
	require.Equal(t, 1, code)
	require.Contains(t, v.Problem, "key-value service unavailable")
	require.True(t, v.inForce("peak", 2))
	code, out = client("status")
	require.Equal(t, 1, code)
	require.Contains(t, string(out), "revision 2 is in force at 4 of 4 processes")
	code, out = client("lift", "00c0ffee00c0ffee")
	require.Zero(t, code, string(out))
	code, _ = client("lift", "coffee")
	require.Equal(t, 2, code)
	c.Store().SetDown(false)

	caller := demo.NewCaller("studio-1")
	defer caller.Close()
	for range 5 {
		_, err := caller.Chat(t.Context(), c.Entries()[0].CallerAddr(), "stundenplan", "who swapped", 4)
		require.NoError(t, err)
	}
	code, out = client("report", "burn")
	require.Zero(t, code, string(out))
	require.Contains(t, string(out), "quick")
	c.Services()[0].Faults().Down(time.Hour)
	for i := range 20 {
		_, err := caller.Call(t.Context(), c.Entries()[i%2].CallerAddr(), "studio-app", "POST", "/bookings", []byte("{}"), "")
		require.Error(t, err)
	}
	code, out = client("report", "burn", "-format", "json")
	require.Equal(t, 11, code, string(out))
	code, _ = client("report", "burn", "-format", "prose")
	require.Equal(t, 2, code)
}

func waitFor(timers waxwingpick.Timers, d time.Duration) {
	elapsed := make(chan struct{})
	timers.After(d, func(time.Time) {
		close(elapsed)
	})
	<-elapsed
}
