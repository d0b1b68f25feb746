package platform_test

import (
	"cmp"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	standin "waxwingpick/internal/standin/platform"
	"waxwingpick/internal/standin/server"
	"waxwingpick/io/platform"
)

// systems are the implementations of the port.
var systems = []struct {
	name string
	make func(t *testing.T, p *standin.Platform) waxwingpick.Platform
	// unavailable is an error that each failure wraps in addition to the port's error.
	unavailable error
}{
	{
		name: "stand-in",
		make: func(_ *testing.T, p *standin.Platform) waxwingpick.Platform {
			return p.Client()
		},
	},
	{
		name: "adapter",
		make: func(t *testing.T, p *standin.Platform) waxwingpick.Platform {
			c, err := platform.New(p.Addr())
			require.NoError(t, err)
			t.Cleanup(c.Close)
			return c
		},
		unavailable: platform.ErrUnavailable,
	},
}

var (
	leaveBy         = time.Unix(5000, 0).UTC()
	runningInstance = waxwingpick.Instance{
		ID:      "i1",
		Kind:    waxwingpick.KindTarget,
		Zone:    "at-ost-a",
		Control: "127.0.0.1:1",
		Data:    "127.0.0.1:2",
		Service: "studio-app",
		Target:  "t1",
	}
)

func leavingInstance() waxwingpick.Instance {
	i := runningInstance
	i.Leaving = true
	i.LeaveBy = leaveBy
	return i
}

func startStandin(t *testing.T) (*standin.Platform, *timer.Manual) {
	clock := timer.NewManual(time.Unix(1000, 0))
	p, err := standin.New(server.Timers(clock))
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, clock
}

func TestListLags(t *testing.T) {
	for _, sys := range systems {
		t.Run(sys.name, func(t *testing.T) {
			p, clock := startStandin(t)
			c := sys.make(t, p)
			check := func(want ...waxwingpick.Instance) {
				t.Helper()
				list, err := c.Instances(t.Context())
				require.NoError(t, err)
				require.Equal(t, append([]waxwingpick.Instance{}, want...), list)
			}
			p.SetLag(time.Second)
			p.Set(runningInstance)
			check()
			clock.Advance(time.Second)
			check(runningInstance)
			p.SetLeaving("i1", true, leaveBy)
			p.SetLeaving("unknown", true, leaveBy)
			clock.Advance(time.Second - 1)
			check(runningInstance)
			clock.Advance(1)
			check(leavingInstance())
			p.SetLeaving("i1", false, time.Time{})
			clock.Advance(time.Second)
			check(runningInstance)
		})
	}
}

func TestFaultsAreReported(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *server.Server)
		err   error
	}{
		{name: "down", fault: func(f *server.Server) { f.Down(0) }, err: waxwingpick.ErrEngineUnreachable},
		{name: "restarted", fault: func(f *server.Server) { f.Down(0); f.Up() }},
		{name: "request lost", fault: func(f *server.Server) { f.LoseRequests("/instances", 1) }, err: waxwingpick.ErrEngineLost},
		{name: "answer lost", fault: func(f *server.Server) { f.LoseResponses("/instances", 1) }, err: waxwingpick.ErrEngineLost},
		{name: "slow", fault: func(f *server.Server) { f.SetSlow(time.Hour) }, err: waxwingpick.ErrEngineLost},
	}
	for _, sys := range systems {
		for _, test := range tests {
			t.Run(sys.name+"/"+test.name, func(t *testing.T) {
				p, _ := startStandin(t)
				c := sys.make(t, p)
				p.Set(runningInstance)
				_, err := c.Instances(t.Context())
				require.NoError(t, err)
				test.fault(p.Faults())
				// Only the slow list needs the caller to cancel its request.
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.name == "slow" {
					go func() {
						for p.Faults().Slowed() == 0 {
							time.Sleep(time.Millisecond)
						}
						cancel()
					}()
				}
				_, err = c.Instances(ctx)
				require.ErrorIs(t, err, test.err)
				if err != nil {
					require.ErrorIs(t, err, cmp.Or(sys.unavailable, test.err))
				}
				p.Faults().SetSlow(0)
				p.Faults().Up()
				list, err := c.Instances(t.Context())
				require.NoError(t, err)
				require.Equal(t, []waxwingpick.Instance{runningInstance}, list)
			})
		}
	}
}
