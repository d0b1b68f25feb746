package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/burn"
	"waxwingpick/core/config"
	"waxwingpick/core/quota"
	"waxwingpick/internal/operator"
	"waxwingpick/io/jsonrpc"
	entries "waxwingpick/io/operator"
)

// fleetSize is the size of a fakeFleet. Each entry has reports of sample targets. No entry has a report of the last
// target.
type fleetSize struct {
	entries, zones, targets, sample int
}

// fakeFleet responds to operators' requests like the entries of a fleet, and counts the bytes of its responses.
type fakeFleet struct {
	fleetSize
	list  []waxwingpick.Instance
	bytes atomic.Int64
}

// fakeEntry is one entry of a fakeFleet.
type fakeEntry struct {
	fleet  *fakeFleet
	number int
}

func newFakeFleet(t testing.TB, size fleetSize) *fakeFleet {
	f := &fakeFleet{
		fleetSize: size,
	}
	for i := range size.entries {
		s := jsonrpc.NewServer("")
		entries.Register(s, fakeEntry{
			fleet:  f,
			number: i,
		})
		addr, err := s.Start("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(s.Close)
		f.list = append(f.list, waxwingpick.Instance{
			ID:      waxwingpick.InstanceID(fmt.Sprintf("entry-%03d", i)),
			Kind:    waxwingpick.KindEntry,
			Zone:    waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%size.zones)),
			Control: addr,
		})
	}
	return f
}

// Instances returns the platform's list of instances.
func (f *fakeFleet) Instances(context.Context) ([]waxwingpick.Instance, error) {
	return f.list, nil
}

func (f *fakeFleet) count(response any) error {
	raw, err := json.Marshal(response)
	f.bytes.Add(int64(len(raw)))
	return err
}

func (e fakeEntry) Status(_ context.Context, req entries.StatusRequest) (entries.Status, error) {
	f := e.fleet
	s := entries.Status{
		Ready:          true,
		ConfigRevision: 7,
		OverRate: []quota.OverRate{{
			Workspace: "studio-1",
			Refused:   2,
		}},
	}
	requested := waxwingpick.NewSet(req.Reported...)
	for i := range f.targets {
		known := i < f.targets-1 && (i+f.targets-e.number*f.sample%f.targets)%f.targets < f.sample
		target := entries.TargetStatus{
			Service:        "stundenplan-llm",
			Target:         waxwingpick.TargetID(fmt.Sprintf("stundenplan-llm-%03d", i)),
			HasReport:      known,
			ConfigRevision: 7,
		}
		switch {
		case req.WithoutTargets:
		case len(req.Reported) == 0, known && requested.Has(target.Target):
			s.Targets = append(s.Targets, target)
		}
	}
	return s, f.count(s)
}

func (e fakeEntry) Burn(context.Context, entries.BurnRequest) (entries.BurnResponse, error) {
	r, err := burn.New()
	if err != nil {
		return entries.BurnResponse{}, err
	}
	for i := range 200 {
		r.Record(time.Now(), burn.Event{
			Class:     waxwingpick.ClassQuick,
			Target:    "stundenplan-llm-000",
			Workspace: waxwingpick.WorkspaceID(fmt.Sprintf("studio-%04d", i)),
		})
	}
	response := entries.BurnResponse{
		Snapshot:       r.Snapshot(time.Now()).Worst(128).WithoutPoints(),
		ConfigRevision: 7,
		Classes: []config.ClassPolicy{{
			Class:     waxwingpick.ClassQuick,
			Objective: 0.99,
		}},
	}
	return response, e.fleet.count(response)
}

func (fakeEntry) Lift(context.Context, entries.LiftRequest) (entries.LiftResponse, error) {
	return entries.LiftResponse{}, nil
}

// run runs the client against the fake fleet and returns its exit code and output.
func (f *fakeFleet) run(ctx context.Context, args ...string) (int, string) {
	var out bytes.Buffer
	env := operator.DefaultEnv()
	env.Stdout = &out
	env.Stderr = &out
	env.Getenv = func(name string) string {
		switch name {
		case operator.EnvPlatform:
			return "platform"
		case operator.EnvKeyValue:
			return "127.0.0.1:1"
		}
		return ""
	}
	env.Platform = func(string) (waxwingpick.Platform, error) {
		return f, nil
	}
	code := operator.Main(ctx, env, args)
	return code, out.String()
}

// TestStatusCollectsReportsOfAllTargets requests the status from entries that have reports of only a twelfth of the
// targets each.
func TestStatusCollectsReportsOfAllTargets(t *testing.T) {
	f := newFakeFleet(t, fleetSize{
		entries: 40,
		zones:   3,
		targets: 60,
		sample:  5,
	})
	// This entry accepts connections and never responds.
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unresponsive.Close()
	f.list[0].Control = unresponsive.Addr().String()
	code, out := f.run(t.Context(), "status")
	require.Equal(t, 1, code, "there is no key-value service")
	require.Contains(t, out, "revision 7 is in force at 98 of 98 processes that answered")
	require.Regexp(t, `studio-1 +78\n`, out, "39 entries responded")
}

// BenchmarkFleetStatusAndBurn requests the status and the burn report from 400 entries. It reports the total size of the
// responses.
func BenchmarkFleetStatusAndBurn(b *testing.B) {
	for _, sample := range []int{56, 336} {
		f := newFakeFleet(b, fleetSize{
			entries: 400,
			zones:   9,
			targets: 600,
			sample:  sample,
		})
		for _, args := range [][]string{{"status"}, {"report", "burn"}} {
			b.Run(fmt.Sprintf("%s/sample=%d", args[0], sample), func(b *testing.B) {
				f.bytes.Store(0)
				for b.Loop() {
					f.run(b.Context(), args...)
				}
				b.ReportMetric(float64(f.bytes.Load())/float64(b.N)/1e6, "MB/op")
			})
		}
	}
}
