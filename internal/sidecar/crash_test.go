package sidecar

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/core/timer"
	"waxwingpick/io/sidecar"
)

// crashingEngine returns its old boot ID for the first oldReads reads, after it has lost its streams.
type crashingEngine struct {
	waxwingpick.Engine
	oldReads int
}

func (e *crashingEngine) State(context.Context) (waxwingpick.EngineState, error) {
	e.oldReads--
	boot := "old"
	if e.oldReads < 0 {
		boot = "new"
	}
	return waxwingpick.EngineState{
		BootID: boot,
	}, nil
}

func TestCrashDetectedWhileEngineStillResponds(t *testing.T) {
	cases := []struct {
		name     string
		oldReads int
		cause    error
		crashed  bool
	}{
		{"new boot immediately", 0, waxwingpick.ErrStreamNotFound, true},
		{"old boot in the first reads", 3, waxwingpick.ErrStreamNotFound, true},
		{"old boot in all reads", 100, waxwingpick.ErrStreamNotFound, false},
		{"connection cut, old boot", 3, waxwingpick.ErrEngineLost, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			timers := timer.NewSystem()
			defer timers.Close()
			log := logrus.New()
			log.SetOutput(io.Discard)
			crashes, err := newCrashes()
			require.NoError(t, err)
			p := &Process{
				target:    "engine-0",
				timers:    timers,
				log:       log.WithField("target", "engine-0"),
				crashes:   crashes,
				lifecycle: t.Context(),
				engine: &crashingEngine{
					oldReads: tc.oldReads,
				},
			}
			crashes.setBootID("old")
			f := suspect.Of("studio", "/v1/completions", []byte("{}"))
			require.Nil(t, crashes.enter(timers.Now(), "a", f))
			p.checkCrash(sidecar.Attempt{
				ID: "a",
			}, tc.cause)
			want := suspect.StatusClean
			if tc.crashed {
				want = suspect.StatusSuspect
			}
			require.Equal(t, want, crashes.set.Status(timers.Now().Add(time.Millisecond), f))
		})
	}
}
