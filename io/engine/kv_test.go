package engine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	standin "waxwingpick/internal/standin/engine"
)

func TestTwoLegs(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		a, b := newFixture(t, impl), newFixture(t, impl)
		req := request("leg-1", "a long dossier of many words", 8)
		exported := make(chan waxwingpick.KVExport)
		go func() {
			export, err := a.client.Prefill(t.Context(), req)
			if err != nil {
				t.Error(err)
			}
			exported <- export
		}()
		export := advanceUntil(a.clock, exported)
		require.Equal(t, 6, export.Tokens)
		handle, err := b.client.ImportKV(t.Context(), export)
		require.NoError(t, err)
		req.KVHandle = handle
		s := b.start(t, req)
		b.clock.Advance(time.Second)
		text, err := read(s, -1)
		require.NoError(t, err)
		require.Equal(t, wantText("a long dossier of many words", 0, 8), text)
		require.Zero(t, b.engine.Record().PrefillTokens)
		require.NoError(t, a.client.Cancel(t.Context(), "leg-1"))
		load, err := a.client.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, load.KVBlocksUsed)

		b.engine.LoseResponses("/kv/import", 1)
		_, err = b.client.ImportKV(t.Context(), export)
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
		load, err = b.client.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, load.KVBlocksUsed)

		wrong := export
		wrong.Fingerprint = "other/model"
		_, err = b.client.ImportKV(t.Context(), wrong)
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
		foreign := request("foreign", "another prompt", 8)
		foreign.KVHandle, err = b.client.ImportKV(t.Context(), export)
		require.NoError(t, err)
		_, err = b.client.Generate(t.Context(), foreign)
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
		used := request("again", "a long dossier of many words", 8)
		used.KVHandle = handle
		_, err = b.client.Generate(t.Context(), used)
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
	})
}

// advanceUntil advances the clock until values yields a value, and returns it.
func advanceUntil[T any](clock *timer.Manual, values <-chan T) T {
	for {
		select {
		case v := <-values:
			return v
		default:
			clock.Advance(tokenTime)
		}
	}
}

func TestRunningStreamMovesByExport(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		a, b := newFixture(t, impl), newFixture(t, impl)
		s := a.start(t, request("s", "season", 10))
		a.clock.Advance(4 * tokenTime)
		first, err := read(s, 4)
		require.NoError(t, err)
		export, err := a.client.ExportKV(t.Context(), "s")
		require.NoError(t, err)
		handle, err := b.client.ImportKV(t.Context(), export)
		require.NoError(t, err)
		rest := request("s2", "season"+first, 6)
		rest.KVHandle = handle
		moved := b.start(t, rest)
		b.clock.Advance(time.Second)
		second, err := read(moved, -1)
		require.NoError(t, err)
		require.Equal(t, wantText("season", 0, 10), first+second)
		_, err = a.client.ExportKV(t.Context(), "unknown")
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
	})
}

func TestLoadReportsLag(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		f.engine.SetFaults(standin.Faults{
			LoadLag: 1000,
		})
		f.start(t, request("a", "prompt", 5000))
		load, err := f.client.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, load.Running)
		require.EqualValues(t, 1000, load.AgeMillis)
		f.clock.Advance(time.Second)
		load, err = f.client.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, load.Running)
	})
}

func TestCacheEventsLagWithGaps(t *testing.T) {
	f := newFixture(t, adapter)
	c := connect(t, f.engine)
	f.engine.SetFaults(standin.Faults{
		CacheEventLag: 1000,
		CacheEventGap: 2,
	})
	prompt := strings.Repeat("word ", 4*standin.BlockWords)
	f.start(t, request("a", prompt, 5000))
	events, err := c.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Empty(t, events.Events)
	f.clock.Advance(time.Second)
	events, err = c.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, []int64{1, 3}, []int64{events.Events[0].Sequence, events.Events[1].Sequence})
	require.Equal(t, standin.Blocks(prompt)[2], events.Events[1].Block)
	models, err := c.Models(t.Context())
	require.NoError(t, err)
	require.Equal(t, "standin", models.Data[0].ID)
}
