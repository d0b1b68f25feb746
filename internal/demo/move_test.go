package demo

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	standinengine "waxwingpick/internal/standin/engine"
	"waxwingpick/io/engine"
	"waxwingpick/io/sidecar"
)

const (
	// The long question's prompt takes 0.3 s to compute, and its answer a second.
	movePrefillToken = 100 * time.Microsecond
	moveDecodeToken  = 5 * time.Millisecond
	movedTokens      = 200
	// A leave takes up to 4 s to be in force on a busy machine, and the rest of the answer 7 s at this factor.
	leaveSlowdown = 8
	// Beside the other request's KV cache there is no memory for the long question's.
	movePieces     = 300
	otherTokens    = 2000
	moveHandleLife = time.Second
	otherTime      = 10 * time.Second
)

// TestStreamOfTwoEnginesIsResumedInPlace cuts the connection to the engine that took over a prompt's KV cache.
func TestStreamOfTwoEnginesIsResumedInPlace(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		Plains:        1,
		Entries:       1,
		Policy:        split,
		EngineOptions: []standinengine.Option{standinengine.Speed(20*time.Microsecond, 5*time.Millisecond)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	c.Engines()[1].SetFaults(standinengine.Faults{
		CutAfter:   5,
		CutStreams: 1,
	})
	answered(t, caller, c.Entries()[0].CallerAddr(), strings.Repeat("a class on tuesday with salsa ", 500), 100)
	require.Zero(t, c.Engines()[1].Record().PrefillTokens)
	// A prefill ends with one token, and nothing of the answer is generated beside the engine that was cut off.
	require.LessOrEqual(t, c.Engines()[0].Record().Tokens, int64(1))
}

// moveConfig leaves moved answers ample time.
func moveConfig() config.Record {
	cfg := testConfig()
	for i := range cfg.Presets[0].Classes {
		cfg.Presets[0].Classes[i].Deadline = config.Duration(time.Minute)
	}
	return cfg
}

// moving is a stream that runs at a leaving engine and the only other engine.
type moving struct {
	c        *Cluster
	from, to *standinengine.Engine
	// arrives reports whether the other target's sidecar has the stream.
	arrives func() bool
}

// slow makes the leaving engine generate more slowly by a factor, so that the stream lasts until the leave is in force.
func (m moving) slow(factor float64) {
	f := m.from.Faults()
	f.Slow = factor
	m.from.SetFaults(f)
}

// await waits until the stream has reached the other target.
func (m moving) await(t *testing.T) {
	require.Eventually(t, m.arrives, time.Minute, time.Millisecond)
}

// fill takes the memory of the other engine for a while.
func (m moving) fill(t *testing.T) {
	client, err := engine.New(m.to.Addr())
	require.NoError(t, err)
	defer client.Close()
	_, err = client.Prefill(t.Context(), waxwingpick.GenerateRequest{
		StreamID: "other",
		Path:     "/v1/completions",
		Body:     []byte(`{"prompt":"` + strings.Repeat("word ", otherTokens) + `"}`),
	})
	require.NoError(t, err)
}

// TestMovedStreamIsWholeUnderFaults announces a leave while a long answer runs and breaks a step of its move.
func TestMovedStreamIsWholeUnderFaults(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name string
		// before and during break something ahead of the move, and once the other target has the stream.
		before func(t *testing.T, m moving)
		during func(t *testing.T, m moving)
		// late sets the date so near that nothing can be fetched.
		late bool
		// fetched says that the other engine computes none of the prompt again.
		fetched bool
		// direct says that the fault is one of a fetch from engine to engine; all others are tried both ways.
		direct bool
	}{
		{name: "none", fetched: true},
		{name: "too late", late: true},
		{name: "export request lost", before: func(_ *testing.T, m moving) { m.from.LoseRequests("/kv/export", 1) }},
		{name: "export answer lost", before: func(_ *testing.T, m moving) { m.from.LoseAnswers("/kv/export", 1) }},
		{name: "export too slow", before: func(_ *testing.T, m moving) {
			m.from.SetFaults(standinengine.Faults{SlowAnswers: 1000})
		}},
		{name: "leaving engine crashes in the export", before: func(_ *testing.T, m moving) {
			m.from.SetFaults(standinengine.Faults{SlowAnswers: 200})
		}, during: func(_ *testing.T, m moving) { m.from.Crash() }},
		{name: "import out of memory", before: func(t *testing.T, m moving) { m.fill(t) }},
		{name: "import request lost", before: func(_ *testing.T, m moving) { m.to.LoseRequests("/kv/import", 1) }},
		{name: "import answer lost", before: func(_ *testing.T, m moving) { m.to.LoseAnswers("/kv/import", 1) }},
		{name: "other engine crashes in the move", before: func(_ *testing.T, m moving) {
			m.to.SetFaults(standinengine.Faults{SlowAnswers: 50})
		}, during: func(_ *testing.T, m moving) { m.to.Crash() }},
		{name: "other engine refuses the import and the start", before: func(_ *testing.T, m moving) {
			m.to.SetFaults(standinengine.Faults{RefuseWork: 2})
		}},
		{name: "start answer lost", before: func(_ *testing.T, m moving) {
			m.to.LoseAnswers("/v1/chat/completions", 1)
		}, fetched: true},
		{name: "start request lost", before: func(_ *testing.T, m moving) { m.to.LoseRequests("/v1/chat/completions", 1) }},
		{name: "fetch request lost", direct: true, before: func(_ *testing.T, m moving) { m.from.LoseRequests("/kv/fetch", 1) }},
		{name: "fetch answer lost", direct: true, before: func(_ *testing.T, m moving) { m.from.LoseAnswers("/kv/fetch", 1) }},
		{name: "fetch cut", direct: true, before: func(_ *testing.T, m moving) {
			m.from.SetFaults(standinengine.Faults{CutFetch: true})
		}},
		{name: "fetched data changed", direct: true, before: func(_ *testing.T, m moving) {
			m.from.SetFaults(standinengine.Faults{CorruptFetch: true})
		}},
		{name: "fetch hangs", direct: true, before: func(_ *testing.T, m moving) {
			m.from.SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}},
		{name: "leaving engine crashes in the fetch", direct: true, before: func(_ *testing.T, m moving) {
			m.from.SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}, during: func(t *testing.T, m moving) {
			m.c.awaitRecord(t, func(r standinengine.Record) bool { return r.Fetched > 0 })
			m.from.Crash()
		}},
		{name: "other engine crashes in the fetch", direct: true, before: func(_ *testing.T, m moving) {
			m.from.SetFaults(standinengine.Faults{SlowFetch: 200})
		}, during: func(t *testing.T, m moving) {
			m.c.awaitRecord(t, func(r standinengine.Record) bool { return r.Fetched > 0 })
			m.to.Crash()
		}},
	}
	question := strings.Repeat("a class on tuesday with salsa ", 500)
	// Each fault that both ways have in common is tried without direct transfer and with it.
	ways := faults
	for _, f := range faults {
		if !f.direct {
			f.name += ", direct"
			f.direct = true
			ways = append(ways, f)
		}
	}
	for _, f := range ways {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, Layout{
				Config:  moveConfig(),
				Engines: 2,
				Plains:  1,
				Entries: 1,
				EngineOptions: []standinengine.Option{
					standinengine.Speed(movePrefillToken, moveDecodeToken),
					standinengine.Memory(movePieces, 16),
					standinengine.HandleLifetime(moveHandleLife),
					standinengine.RestartTime(100 * time.Millisecond),
				},
				OwnOptions: directKV([2]bool{f.direct, f.direct}),
			})
			caller := NewCaller("studio-1")
			defer caller.Close()
			var wg conc.WaitGroup
			wg.Go(func() {
				answered(t, caller, c.Entries()[0].CallerAddr(), question, movedTokens)
			})
			awaitTokens(t, c, 20)
			m, leaver := c.moving()
			if f.before != nil {
				f.before(t, m)
			}
			m.slow(leaveSlowdown)
			before := m.to.Record().PrefillTokens
			by := time.Now().Add(10 * time.Second)
			if f.late {
				by = time.Now()
			}
			require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(c.Instances()[leaver].ID, by.UTC(), time.Now().UTC())))
			m.await(t)
			if f.during != nil {
				f.during(t, m)
			}
			m.slow(1)
			wg.Wait()
			require.Equal(t, f.fetched, m.to.Record().PrefillTokens == before)
			require.False(t, f.fetched && f.direct && m.from.Record().Fetched != 1, "fetched past the sidecars")
			counted := reportOf(t, c, c.Sidecars()[1-leaver].ControlAddr()).Totals.PrefillTokens
			require.Equal(t, f.fetched, counted == 0, "the work is counted where it is done: %d", counted)
			m.requireClean(t)
		})
	}
}

// TestMovedStreamWaitsForABusyTarget moves an answer to the only other target while that refuses what comes.
func TestMovedStreamWaitsForABusyTarget(t *testing.T) {
	t.Parallel()
	cfg := moveConfig()
	cfg.Limits.MaxQueue = 1
	cfg.Services[0].MaxConcurrent = 1
	c := startCluster(t, Layout{
		Config:        cfg,
		Engines:       2,
		Plains:        1,
		Entries:       1,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, moveDecodeToken)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	var wg conc.WaitGroup
	wg.Go(func() {
		answered(t, caller, c.Entries()[0].CallerAddr(), "a", movedTokens)
	})
	awaitTokens(t, c, 20)
	m, leaver := c.moving()
	m.slow(leaveSlowdown)
	peers, err := sidecar.NewClient(c.fleet, maxBody)
	require.NoError(t, err)
	defer peers.Close()
	for i := range 2 {
		wg.Go(func() {
			// The other requests end before the answer's deadline, so that their place in the queue is before its own.
			stream, err := peers.Generate(t.Context(), c.Sidecars()[1-leaver].DataAddr(), sidecar.Attempt{
				ID:              fmt.Sprint("other-", i),
				Target:          c.Instances()[1-leaver].Target,
				Workspace:       "studio-2",
				Path:            "/v1/completions",
				Model:           "stundenplan",
				RemainingMillis: otherTime.Milliseconds(),
			}, []byte(`{"prompt":"other","max_tokens":400,"stream":true}`))
			require.NoError(t, err)
			defer stream.Close()
			for err == nil {
				_, err = stream.Next()
			}
		})
	}
	require.Eventually(t, func() bool {
		return c.Sidecars()[1-leaver].Running() == 2
	}, time.Minute, time.Millisecond)
	by := time.Now().Add(10 * time.Second).UTC()
	require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(c.Instances()[leaver].ID, by, time.Now().UTC())))
	require.Eventually(t, func() bool {
		return c.Sidecars()[leaver].Running() == 0
	}, time.Minute, time.Millisecond)
	wg.Wait()
	require.Len(t, m.to.Record().Runs, 3)
	m.requireClean(t)
}

// moving returns the stream that runs in the cluster, and the index of its target.
func (c *Cluster) moving() (moving, int) {
	leaver := 0
	if c.Sidecars()[0].Running() == 0 {
		leaver = 1
	}
	other := c.Sidecars()[1-leaver]
	return moving{
		c:    c,
		from: c.Engines()[leaver],
		to:   c.Engines()[1-leaver],
		arrives: func() bool {
			return other.Running() > 0
		},
	}, leaver
}

// requireClean checks that nothing ran twice and that what the move left behind was freed.
func (m moving) requireClean(t *testing.T) {
	for _, e := range []*standinengine.Engine{m.from, m.to} {
		require.Zero(t, e.Record().Violations)
		for _, runs := range e.Record().Runs {
			require.Equal(t, 1, runs)
		}
	}
	m.c.requireFree(t)
}
