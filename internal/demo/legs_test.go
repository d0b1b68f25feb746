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

// split gives the first engine prefill and the others decode.
func split(in authority.Input) []plan.Wanted {
	wanted := authority.Keep(in)
	for i := range wanted {
		wanted[i].Config.Role = waxwingpick.RoleDecode
		if strings.HasSuffix(string(wanted[i].ID), "-0") {
			wanted[i].Config.Role = waxwingpick.RolePrefill
		}
	}
	return wanted
}

// keptForever shows what only the engines' limit of time would free.
const keptForever = time.Hour

func TestLongPromptsRunOnTwoEngines(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name  string
		fault func(c *Cluster)
		// during breaks something while the request runs.
		during func(t *testing.T, c *Cluster)
		// direct says which engines fetch from each other.
		direct [2]bool
		// moved says that the prompt is computed on the first engine and answered by the second.
		moved bool
		// fetched counts the fetches that the first engine has answered.
		fetched int
	}{
		{name: "none", moved: true},
		{name: "prefill engine down", fault: func(c *Cluster) { c.Engines()[0].Down(time.Hour) }},
		{name: "export lost", fault: func(c *Cluster) { c.Engines()[0].LoseAnswers("/kv", 1) }},
		{name: "import lost", fault: func(c *Cluster) { c.Engines()[1].LoseAnswers("/kv", 1) }},
		{name: "only prefill engine offers fetches", direct: [2]bool{true, false}, moved: true},
		{name: "only decode engine fetches", direct: [2]bool{false, true}, moved: true},
		{name: "fetched", direct: both, moved: true, fetched: 1},
		{name: "reference lost", direct: both, fault: func(c *Cluster) { c.Engines()[0].LoseAnswers("/kv/prefill", 1) }},
		{name: "import answer lost behind the fetch", direct: both, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[1].LoseAnswers("/kv/import", 1)
		}},
		{name: "fetch lost", direct: both, fault: func(c *Cluster) { c.Engines()[0].LoseRequests("/kv/fetch", 1) }},
		{name: "fetch cut", direct: both, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{CutFetch: true})
		}},
		{name: "fetched data changed", direct: both, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{CorruptFetch: true})
		}},
		{name: "fetch hangs", direct: both, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}},
		{name: "prefill engine crashes in the fetch", direct: both, fetched: 1, fault: func(c *Cluster) {
			c.Engines()[0].SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}, during: func(t *testing.T, c *Cluster) {
			c.awaitRecord(t, func(r standinengine.Record) bool { return r.Fetched > 0 })
			c.Engines()[0].Crash()
		}},
		{name: "prefill engine restarts before the fetch", direct: both, fault: func(c *Cluster) {
			c.Engines()[1].SetFaults(standinengine.Faults{SlowAnswers: 300})
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
				Engines: 2,
				Plains:  1,
				Entries: 1,
				Policy:  split,
				EngineOptions: []standinengine.Option{
					standinengine.Speed(20*time.Microsecond, time.Millisecond),
					standinengine.HandleLifetime(keptForever),
				},
				OwnOptions: directKV(f.direct),
			})
			if f.fault != nil {
				f.fault(c)
			}
			caller := NewCaller("studio-1")
			defer caller.Close()
			var wg conc.WaitGroup
			wg.Go(func() {
				answered(t, caller, c.Entries()[0].CallerAddr(), question, 20)
			})
			if f.during != nil {
				f.during(t, c)
			}
			wg.Wait()
			// A prefill ends with the first token, which is not the answer's.
			require.LessOrEqual(t, c.Engines()[0].Record().Tokens, int64(1))
			require.Equal(t, int64(20), c.Engines()[1].Record().Tokens)
			if f.moved {
				require.Positive(t, c.Engines()[0].Record().PrefillTokens)
				require.Zero(t, c.Engines()[1].Record().PrefillTokens)
			}
			require.Equal(t, f.fetched, c.Engines()[0].Record().Fetched)
			counted := reportOf(t, c, c.sidecars[1].ControlAddr()).Totals.PrefillTokens
			require.Equal(t, f.moved, counted == 0, "the work is counted where it is done: %d", counted)
			require.Zero(t, c.Engines()[1].Record().Violations)
			c.requireFree(t)
		})
	}
}

// TestTransfersFreeTheirPlaces asks more questions in turn than an engine has places for transfers.
func TestTransfersFreeTheirPlaces(t *testing.T) {
	t.Parallel()
	const questions = 6
	c := startCluster(t, Layout{
		Engines:       2,
		Plains:        1,
		Entries:       1,
		Policy:        split,
		EngineOptions: []standinengine.Option{standinengine.DirectKV(), standinengine.HandleLifetime(keptForever)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	for i := range questions {
		answered(t, caller, c.Entries()[0].CallerAddr(), strings.Repeat(fmt.Sprintf("a class on day %d with salsa ", i), 500), 5)
	}
	require.Equal(t, questions, c.Engines()[0].Record().Fetched)
	require.Zero(t, c.Engines()[1].Record().PrefillTokens)
	c.requireFree(t)
}

var both = [2]bool{true, true}

// directKV lets some engines fetch KV cache from each other.
func directKV(which [2]bool) func(i int) []standinengine.Option {
	return func(i int) []standinengine.Option {
		if !which[i] {
			return nil
		}
		return []standinengine.Option{standinengine.DirectKV()}
	}
}

// awaitRecord waits until the record of an engine satisfies the condition.
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

// requireFree checks that neither the engines hold memory nor the sidecars a request.
func (c *Cluster) requireFree(t *testing.T) {
	for _, e := range c.Engines() {
		require.Eventually(t, func() bool {
			return e.Load().PiecesUsed == 0
		}, time.Minute, 10*time.Millisecond)
	}
	for _, s := range c.Sidecars() {
		require.Eventually(t, func() bool {
			return s.Running() == 0
		}, time.Minute, 10*time.Millisecond)
	}
}

// reportOf asks a sidecar for its report.
func reportOf(t *testing.T, c *Cluster, control string) sidecar.Report {
	client, err := jsonrpc.NewClient(jsonrpc.Fleet(c.fleet))
	require.NoError(t, err)
	defer client.Close()
	var answer sidecar.ProbeResponse
	require.NoError(t, client.Call(t.Context(), control, sidecar.MethodProbe, sidecar.ProbeRequest{}, &answer))
	return *answer.Report
}
