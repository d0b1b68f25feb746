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
	// The prefill of the long prompt takes 0.3 s, and its decoding one second.
	movePrefillToken = 100 * time.Microsecond
	moveDecodeToken  = 5 * time.Millisecond
	movedTokens      = 200
	// A leave takes up to 4 s to take effect on a busy machine, and the rest of the response takes 7 s at this factor.
	leaveSlowdown = 8
	// The KV caches of the long prompt and of the other request together exceed an engine's memory.
	movePieces     = 300
	otherTokens    = 2000
	moveHandleLife = time.Second
	otherTime      = 10 * time.Second
)

// TestStreamOfTwoEnginesIsResumedInPlace cuts the connection to the engine of the decode stage, and checks that the
// stream resumes there instead of being computed again.
func TestStreamOfTwoEnginesIsResumedInPlace(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		PlainServices: 1,
		Entries:       1,
		Policy:        splitRoles,
		EngineOptions: []standinengine.Option{standinengine.Speed(20*time.Microsecond, 5*time.Millisecond)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	c.Engines()[1].SetFaults(standinengine.Faults{
		CutAfter:   5,
		CutStreams: 1,
	})
	requireResponse(t, caller, c.Entries()[0].CallerAddr(), strings.Repeat("a class on tuesday with salsa ", 500), 100)
	require.Zero(t, c.Engines()[1].Record().PrefillTokens)
	// A prefill generates one token. Nothing else runs on the engine of the prefill stage.
	require.LessOrEqual(t, c.Engines()[0].Record().Tokens, int64(1))
}

// moveConfig returns a configuration with deadlines that moved streams meet.
func moveConfig() config.Record {
	cfg := testConfig()
	for i := range cfg.Presets[0].Classes {
		cfg.Presets[0].Classes[i].Deadline = config.Duration(time.Minute)
	}
	return cfg
}

// streamMove is a running stream, its leaving engine and the other engine, to which it moves.
type streamMove struct {
	c        *Cluster
	from, to *standinengine.Engine
	// arrived reports whether the stream has reached the sidecar of the other target.
	arrived func() bool
}

// slowDown slows down the leaving engine by a factor, so that the stream is still running when the leave takes effect.
func (m streamMove) slowDown(factor float64) {
	f := m.from.Faults()
	f.Slow = factor
	m.from.SetFaults(f)
}

// awaitArrival waits until the stream has reached the sidecar of the other target.
func (m streamMove) awaitArrival(t *testing.T) {
	require.Eventually(t, m.arrived, time.Minute, time.Millisecond)
}

// fillMemory occupies the memory of the other engine until the handle of a prefill expires.
func (m streamMove) fillMemory(t *testing.T) {
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

// TestMovedStreamIsWholeUnderFaults announces a leave during a long response, injects a fault into one step of the
// move, and checks that the response is complete.
func TestMovedStreamIsWholeUnderFaults(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name string
		// before and during inject a fault ahead of the move, and after the stream has reached the other target.
		before func(t *testing.T, m streamMove)
		during func(t *testing.T, m streamMove)
		// late sets the date of the leave so close that the KV cache can't be transferred.
		late bool
		// fetched is whether the KV cache is transferred, so that the other engine computes no part of the prompt.
		fetched bool
		// direct marks a fault of a transfer between engines; all other faults run with and without direct transfers.
		direct bool
	}{
		{name: "none", fetched: true},
		{name: "too late", late: true},
		{name: "export request lost", before: func(_ *testing.T, m streamMove) { m.from.LoseRequests("/kv/export", 1) }},
		{name: "export answer lost", before: func(_ *testing.T, m streamMove) { m.from.LoseResponses("/kv/export", 1) }},
		{name: "export too slow", before: func(_ *testing.T, m streamMove) {
			m.from.SetFaults(standinengine.Faults{SlowResponses: 1000})
		}},
		{name: "leaving engine crashes in the export", before: func(_ *testing.T, m streamMove) {
			m.from.SetFaults(standinengine.Faults{SlowResponses: 200})
		}, during: func(_ *testing.T, m streamMove) { m.from.Crash() }},
		{name: "import out of memory", before: func(t *testing.T, m streamMove) { m.fillMemory(t) }},
		{name: "import request lost", before: func(_ *testing.T, m streamMove) { m.to.LoseRequests("/kv/import", 1) }},
		{name: "import answer lost", before: func(_ *testing.T, m streamMove) { m.to.LoseResponses("/kv/import", 1) }},
		{name: "other engine crashes in the move", before: func(_ *testing.T, m streamMove) {
			m.to.SetFaults(standinengine.Faults{SlowResponses: 50})
		}, during: func(_ *testing.T, m streamMove) { m.to.Crash() }},
		{name: "other engine refuses the import and the start", before: func(_ *testing.T, m streamMove) {
			m.to.SetFaults(standinengine.Faults{RefuseWork: 2})
		}},
		{name: "start answer lost", before: func(_ *testing.T, m streamMove) {
			m.to.LoseResponses("/v1/chat/completions", 1)
		}, fetched: true},
		{name: "start request lost", before: func(_ *testing.T, m streamMove) { m.to.LoseRequests("/v1/chat/completions", 1) }},
		{name: "fetch request lost", direct: true, before: func(_ *testing.T, m streamMove) { m.from.LoseRequests("/kv/fetch", 1) }},
		{name: "fetch answer lost", direct: true, before: func(_ *testing.T, m streamMove) { m.from.LoseResponses("/kv/fetch", 1) }},
		{name: "fetch cut", direct: true, before: func(_ *testing.T, m streamMove) {
			m.from.SetFaults(standinengine.Faults{CutFetch: true})
		}},
		{name: "fetched data changed", direct: true, before: func(_ *testing.T, m streamMove) {
			m.from.SetFaults(standinengine.Faults{CorruptFetch: true})
		}},
		{name: "fetch hangs", direct: true, before: func(_ *testing.T, m streamMove) {
			m.from.SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}},
		{name: "leaving engine crashes in the fetch", direct: true, before: func(_ *testing.T, m streamMove) {
			m.from.SetFaults(standinengine.Faults{SlowFetch: 3_600_000})
		}, during: func(t *testing.T, m streamMove) {
			m.c.awaitRecord(t, func(r standinengine.Record) bool { return r.Fetched > 0 })
			m.from.Crash()
		}},
		{name: "other engine crashes in the fetch", direct: true, before: func(_ *testing.T, m streamMove) {
			m.from.SetFaults(standinengine.Faults{SlowFetch: 200})
		}, during: func(t *testing.T, m streamMove) {
			m.c.awaitRecord(t, func(r standinengine.Record) bool { return r.Fetched > 0 })
			m.to.Crash()
		}},
	}
	question := strings.Repeat("a class on tuesday with salsa ", 500)
	// Faults of both kinds of transfer run without direct transfers and with them.
	cases := faults
	for _, f := range faults {
		if !f.direct {
			f.name += ", direct"
			f.direct = true
			cases = append(cases, f)
		}
	}
	for _, f := range cases {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, Layout{
				Config:        moveConfig(),
				Engines:       2,
				PlainServices: 1,
				Entries:       1,
				EngineOptions: []standinengine.Option{
					standinengine.Speed(movePrefillToken, moveDecodeToken),
					standinengine.Memory(movePieces, 16),
					standinengine.HandleLifetime(moveHandleLife),
					standinengine.RestartTime(100 * time.Millisecond),
				},
				ExtraEngineOptions: directKV([2]bool{f.direct, f.direct}),
			})
			caller := NewCaller("studio-1")
			defer caller.Close()
			var wg conc.WaitGroup
			wg.Go(func() {
				requireResponse(t, caller, c.Entries()[0].CallerAddr(), question, movedTokens)
			})
			awaitTokens(t, c, 20)
			m, leaving := c.streamMove()
			if f.before != nil {
				f.before(t, m)
			}
			m.slowDown(leaveSlowdown)
			before := m.to.Record().PrefillTokens
			by := time.Now().Add(10 * time.Second)
			if f.late {
				by = time.Now()
			}
			require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(c.Instances()[leaving].ID, by.UTC(), time.Now().UTC())))
			m.awaitArrival(t)
			if f.during != nil {
				f.during(t, m)
			}
			m.slowDown(1)
			wg.Wait()
			require.Equal(t, f.fetched, m.to.Record().PrefillTokens == before)
			require.False(t, f.fetched && f.direct && m.from.Record().Fetched != 1, "the KV cache must be transferred between the engines")
			counted := probeReport(t, c, c.Sidecars()[1-leaving].ControlAddr()).Totals.PrefillTokens
			require.Equal(t, f.fetched, counted == 0, "the work is counted where it is done: %d", counted)
			m.requireNoLeftovers(t)
		})
	}
}

// TestMovedStreamWaitsForABusyTarget moves a stream while the queue of the only other target is full.
func TestMovedStreamWaitsForABusyTarget(t *testing.T) {
	t.Parallel()
	cfg := moveConfig()
	cfg.Limits.MaxQueue = 1
	cfg.Services[0].MaxConcurrent = 1
	c := startCluster(t, Layout{
		Config:        cfg,
		Engines:       2,
		PlainServices: 1,
		Entries:       1,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, moveDecodeToken)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	var wg conc.WaitGroup
	wg.Go(func() {
		requireResponse(t, caller, c.Entries()[0].CallerAddr(), "a", movedTokens)
	})
	awaitTokens(t, c, 20)
	m, leaving := c.streamMove()
	m.slowDown(leaveSlowdown)
	peers, err := sidecar.NewClient(c.fleet, maxBody)
	require.NoError(t, err)
	defer peers.Close()
	for i := range 2 {
		wg.Go(func() {
			// The deadline of the other requests is earlier than the stream's, so they precede it in the queue.
			stream, err := peers.Generate(t.Context(), c.Sidecars()[1-leaving].DataAddr(), sidecar.Attempt{
				ID:              fmt.Sprint("other-", i),
				Target:          c.Instances()[1-leaving].Target,
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
		return c.Sidecars()[1-leaving].Running() == 2
	}, time.Minute, time.Millisecond)
	by := time.Now().Add(10 * time.Second).UTC()
	require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(c.Instances()[leaving].ID, by, time.Now().UTC())))
	require.Eventually(t, func() bool {
		return c.Sidecars()[leaving].Running() == 0
	}, time.Minute, time.Millisecond)
	wg.Wait()
	require.Len(t, m.to.Record().Runs, 3)
	m.requireNoLeftovers(t)
}

// streamMove returns the running stream of the cluster and the index of its target.
func (c *Cluster) streamMove() (streamMove, int) {
	leaving := 0
	if c.Sidecars()[0].Running() == 0 {
		leaving = 1
	}
	other := c.Sidecars()[1-leaving]
	return streamMove{
		c:    c,
		from: c.Engines()[leaving],
		to:   c.Engines()[1-leaving],
		arrived: func() bool {
			return other.Running() > 0
		},
	}, leaving
}

// requireNoLeftovers checks that no attempt ran twice, and that the move left no KV cache and no running request.
func (m streamMove) requireNoLeftovers(t *testing.T) {
	for _, e := range []*standinengine.Engine{m.from, m.to} {
		require.Zero(t, e.Record().Violations)
		for _, runs := range e.Record().Runs {
			require.Equal(t, 1, runs)
		}
	}
	m.c.requireReleased(t)
}
