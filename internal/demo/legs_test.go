package demo

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/internal/authority"
	standinengine "waxwingpick/internal/standin/engine"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/sidecar"
)

// splitRoles assigns the prefill role to the first engine and the decode role to the others.
func splitRoles(in authority.Input) []plan.DesiredTarget {
	desired := authority.KeepCurrent(in)
	for i := range desired {
		desired[i].Config.Role = waxwingpick.RoleDecode
		if strings.HasSuffix(string(desired[i].ID), "-0") {
			desired[i].Config.Role = waxwingpick.RolePrefill
		}
	}
	return desired
}

// longHandleLifetime is a handle lifetime beyond the test, so that a handle that is never released fails the test.
const longHandleLifetime = time.Hour

func TestLongPromptsRunOnTwoEngines(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name  string
		fault func(c *Cluster)
		// during injects a fault while the request runs.
		during func(t *testing.T, c *Cluster)
		// direct holds for each engine whether it supports direct transfers.
		direct [2]bool
		// moved is whether the first engine computes the prompt and the second generates the response.
		moved bool
		// fetched is the expected number of fetches that the first engine served.
		fetched int
	}{
		{name: "none", moved: true},
		{name: "prefill engine down", fault: func(c *Cluster) { c.Engines()[0].Down(time.Hour) }},
		{name: "export lost", fault: func(c *Cluster) { c.Engines()[0].LoseResponses("/kv", 1) }},
		{name: "import lost", fault: func(c *Cluster) { c.Engines()[1].LoseResponses("/kv", 1) }},
		{name: "only prefill engine offers fetches", direct: [2]bool{true, false}, moved: true},
		{name: "only decode engine fetches", direct: [2]bool{false, true}, moved: true},
		{name: "fetched", direct: bothDirect, moved: true, fetched: 1},
		{name: "reference lost", direct: bothDirect, fault: func(c *Cluster) { c.Engines()[0].LoseResponses("/kv/prefill", 1) }},
		{name: "import answer lost behind the fetch", direct: bothDirect, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[1].LoseResponses("/kv/import", 1)
		}},
		{name: "fetch lost", direct: bothDirect, fault: func(c *Cluster) { c.Engines()[0].LoseRequests("/kv/fetch", 1) }},
		{name: "fetch cut", direct: bothDirect, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{CutFetch: true})
		}},
		{name: "fetched data changed", direct: bothDirect, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{CorruptFetch: true})
		}},
		{name: "fetch hangs", direct: bothDirect, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}},
		{name: "prefill engine crashes in the fetch", direct: bothDirect, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}, during: func(t *testing.T, c *Cluster) {
			c.awaitRecord(t, func(r standinengine.Record) bool { return r.Fetched > 0 })
			c.Engines()[0].Crash()
		}},
		{name: "prefill engine restarts before the fetch", direct: bothDirect, fault: func(c *Cluster) {
			c.Engines()[1].SetFaults(standinengine.Faults{SlowResponses: 300})
		}, during: func(t *testing.T, c *Cluster) {
			c.awaitRecord(t, func(r standinengine.Record) bool { return r.Offered > 0 })
			c.Engines()[0].Crash()
		}},
	}
	question := strings.Repeat("a class on tuesday with salsa ", 500)
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, Layout{
				Engines:       2,
				PlainServices: 1,
				Entries:       1,
				Policy:        splitRoles,
				EngineOptions: []standinengine.Option{
					standinengine.Speed(20*time.Microsecond, time.Millisecond),
					standinengine.HandleLifetime(longHandleLifetime),
				},
				ExtraEngineOptions: directKV(f.direct),
			})
			if f.fault != nil {
				f.fault(c)
			}
			caller := NewCaller("studio-1")
			defer caller.Close()
			var wg conc.WaitGroup
			wg.Go(func() {
				requireResponse(t, caller, c.Entries()[0].CallerAddr(), question, 20)
			})
			if f.during != nil {
				f.during(t, c)
			}
			wg.Wait()
			// A prefill generates one token, which is not part of the response.
			require.LessOrEqual(t, c.Engines()[0].Record().Tokens, int64(1))
			require.Equal(t, int64(20), c.Engines()[1].Record().Tokens)
			if f.moved {
				require.Positive(t, c.Engines()[0].Record().PrefillTokens)
				require.Zero(t, c.Engines()[1].Record().PrefillTokens)
			}
			require.Equal(t, f.fetched, c.Engines()[0].Record().Fetched)
			counted := probeReport(t, c, c.sidecars[1].ControlAddr()).Totals.PrefillTokens
			require.Equal(t, f.moved, counted == 0, "the work is counted where it is done: %d", counted)
			require.Zero(t, c.Engines()[1].Record().Violations)
			c.requireReleased(t)
		})
	}
}

// TestTransfersFreeTheirPlaces sends more requests in sequence than an engine has transfer slots, so a slot that is not
// released fails a later request.
func TestTransfersFreeTheirPlaces(t *testing.T) {
	t.Parallel()
	const questions = 6
	c := startCluster(t, Layout{
		Engines:       2,
		PlainServices: 1,
		Entries:       1,
		Policy:        splitRoles,
		EngineOptions: []standinengine.Option{standinengine.DirectKV(), standinengine.HandleLifetime(longHandleLifetime)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	for i := range questions {
		requireResponse(t, caller, c.Entries()[0].CallerAddr(), strings.Repeat(fmt.Sprintf("a class on day %d with salsa ", i), 500), 5)
	}
	require.Equal(t, questions, c.Engines()[0].Record().Fetched)
	require.Zero(t, c.Engines()[1].Record().PrefillTokens)
	c.requireReleased(t)
}

var bothDirect = [2]bool{true, true}

// directKV returns the options of each engine, which enable direct transfers of the KV cache for those in enabled.
func directKV(enabled [2]bool) func(i int) []standinengine.Option {
	return func(i int) []standinengine.Option {
		if !enabled[i] {
			return nil
		}
		return []standinengine.Option{standinengine.DirectKV()}
	}
}

// awaitRecord waits until the record of at least one engine satisfies a condition.
func (c *Cluster) awaitRecord(t *testing.T, holds func(r standinengine.Record) bool) {
	require.Eventually(t, func() bool {
		for _, e := range c.Engines() {
			if holds(e.Record()) {
				return true
			}
		}
		return false
	}, time.Minute, time.Millisecond)
}

// requireReleased waits until the engines hold no KV cache and the sidecars no request.
func (c *Cluster) requireReleased(t *testing.T) {
	for _, e := range c.Engines() {
		require.Eventually(t, func() bool {
			return e.Load().KVBlocksUsed == 0
		}, time.Minute, 10*time.Millisecond)
	}
	for _, s := range c.Sidecars() {
		require.Eventually(t, func() bool {
			return s.Running() == 0
		}, time.Minute, 10*time.Millisecond)
	}
}

// probeReport probes a sidecar and returns its report.
func probeReport(t *testing.T, c *Cluster, control string) sidecar.Report {
	client, err := jsonrpc.NewClient(jsonrpc.Fleet(c.fleet))
	require.NoError(t, err)
	defer client.Close()
	var response sidecar.ProbeResponse
	require.NoError(t, client.Call(t.Context(), control, sidecar.MethodProbe, sidecar.ProbeRequest{}, &response))
	return *response.Report
}
