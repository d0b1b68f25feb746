package engine_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	standin "waxwingpick/internal/standin/engine"
)

const (
	longPrompt       = "a long dossier of many words"
	longPromptTokens = 6
	kvBlocks         = 4
	// handleLifetime is far longer than the clock advances while an engine computes.
	handleLifetime = 1000 * time.Hour
)

// offerLongPrompt returns two engines and a reference to the KV cache of longPrompt, which the first engine holds.
func offerLongPrompt(t *testing.T, impl implementation) (a, b fixture, export waxwingpick.KVExport) {
	t.Helper()
	opts := []standin.Option{standin.DirectKV(), standin.Memory(kvBlocks, longPromptTokens), standin.HandleLifetime(handleLifetime)}
	a, b = newFixture(t, impl, opts...), newFixture(t, impl, opts...)
	return a, b, a.offer(t, "leg", longPrompt)
}

// offer runs a prefill whose KV cache the engine keeps for another engine, and returns the reference to it.
func (f fixture) offer(t *testing.T, id, prompt string) waxwingpick.KVExport {
	t.Helper()
	req := request(id, prompt, 8)
	req.ByReference = true
	exported := make(chan waxwingpick.KVExport)
	go func() {
		export, err := f.client.Prefill(t.Context(), req)
		if err != nil {
			t.Error(err)
		}
		exported <- export
	}()
	return advanceUntil(f.clock, exported)
}

func (f fixture) kvBlocksUsed(t *testing.T) int {
	t.Helper()
	load, err := f.client.Load(t.Context())
	require.NoError(t, err)
	return load.KVBlocksUsed
}

func TestEngineFetchesKVFromAnotherEngine(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		a, b, export := offerLongPrompt(t, impl)
		require.Nil(t, export.Data)
		state, err := a.client.State(t.Context())
		require.NoError(t, err)
		require.Equal(t, state.KVAddress, export.Reference.Address)
		require.Equal(t, state.BootID, export.Reference.BootID)
		req := request("answer", longPrompt, 8)
		req.KVHandle, err = b.client.ImportKV(t.Context(), export)
		require.NoError(t, err)
		s := b.start(t, req)
		b.clock.Advance(time.Second)
		text, err := read(s, -1)
		require.NoError(t, err)
		require.Equal(t, wantText(longPrompt, 0, 8), text)
		require.Zero(t, b.engine.Record().PrefillTokens)
		require.NoError(t, a.client.Cancel(t.Context(), "leg"))
		require.Zero(t, a.kvBlocksUsed(t))
		require.Zero(t, b.kvBlocksUsed(t))
	})
}

func TestRunningStreamMovesByReference(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		a, b := newFixture(t, impl, standin.DirectKV(), standin.HandleLifetime(time.Second)), newFixture(t, impl, standin.DirectKV())
		s := a.start(t, request("s", "season", 10))
		a.clock.Advance(4 * tokenTime)
		first, err := read(s, 4)
		require.NoError(t, err)
		export, err := a.client.OfferKV(t.Context(), "s")
		require.NoError(t, err)
		// Engine b generates again the tokens that engine a generates after the offer.
		a.clock.Advance(2 * tokenTime)
		rest := request("s2", "season"+first, 6)
		rest.KVHandle, err = b.client.ImportKV(t.Context(), export)
		require.NoError(t, err)
		moved := b.start(t, rest)
		b.clock.Advance(time.Second)
		second, err := read(moved, -1)
		require.NoError(t, err)
		require.Equal(t, wantText("season", 0, 10), first+second)
		a.start(t, request("long", "season", 5000))
		expired, err := a.client.OfferKV(t.Context(), "long")
		require.NoError(t, err)
		a.clock.Advance(time.Second)
		_, err = b.client.ImportKV(t.Context(), expired)
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
		late, err := a.client.OfferKV(t.Context(), "s")
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused, "an ended stream holds no KV cache: %v", late)
	})
}

// directFaults are faults that must make the fetch of a reference fail.
var directFaults = []struct {
	name  string
	fault func(t *testing.T, a, b fixture, export *waxwingpick.KVExport)
	// caught reports whether the fault detects an engine that checks only the name of a reference.
	caught bool
}{
	{name: "wrong token", caught: true, fault: func(_ *testing.T, _, _ fixture, export *waxwingpick.KVExport) {
		export.Reference.Token = "guessed"
	}},
	{name: "another boot", caught: true, fault: func(_ *testing.T, _, _ fixture, export *waxwingpick.KVExport) {
		export.Reference.BootID = "former"
	}},
	{name: "used before", caught: true, fault: func(t *testing.T, _, b fixture, export *waxwingpick.KVExport) {
		handle, err := b.client.ImportKV(t.Context(), *export)
		require.NoError(t, err)
		require.NoError(t, b.client.Cancel(t.Context(), handle))
	}},
	{name: "offered anew", caught: true, fault: func(t *testing.T, a, _ fixture, _ *waxwingpick.KVExport) {
		_, err := a.client.OfferKV(t.Context(), "leg")
		require.NoError(t, err)
	}},
	{name: "another request's cache", fault: func(t *testing.T, a, _ fixture, export *waxwingpick.KVExport) {
		export.Reference.Name = a.offer(t, "other", "another prompt").Reference.Name
	}},
	{name: "expired", fault: func(_ *testing.T, a, _ fixture, _ *waxwingpick.KVExport) { a.clock.Advance(handleLifetime) }},
	{name: "freed", fault: func(t *testing.T, a, _ fixture, _ *waxwingpick.KVExport) {
		require.NoError(t, a.client.Cancel(t.Context(), "leg"))
	}},
	{name: "exporter restarted", fault: func(_ *testing.T, a, _ fixture, _ *waxwingpick.KVExport) {
		a.engine.Crash()
		a.engine.Up()
	}},
	{name: "exporter down", fault: func(_ *testing.T, a, _ fixture, _ *waxwingpick.KVExport) { a.engine.Down(0) }},
	{name: "fetch request lost", fault: func(_ *testing.T, a, _ fixture, _ *waxwingpick.KVExport) {
		a.engine.LoseRequests("/kv/fetch", 1)
	}},
	{name: "fetch cut", fault: func(_ *testing.T, a, _ fixture, _ *waxwingpick.KVExport) {
		a.engine.SetFaults(standin.Faults{CutFetch: true})
	}},
	{name: "data changed on the way", fault: func(_ *testing.T, a, _ fixture, _ *waxwingpick.KVExport) {
		a.engine.SetFaults(standin.Faults{CorruptFetch: true})
	}},
	{name: "another length", fault: func(_ *testing.T, _, _ fixture, export *waxwingpick.KVExport) { export.Reference.Bytes++ }},
	{name: "another version", fault: func(_ *testing.T, _, _ fixture, export *waxwingpick.KVExport) {
		export.Fingerprint = strings.Replace(export.Fingerprint, "/1/", "/2/", 1)
	}},
	{name: "another number of tokens", fault: func(_ *testing.T, _, _ fixture, export *waxwingpick.KVExport) { export.Tokens-- }},
	{name: "importer out of memory", fault: func(_ *testing.T, _, _ fixture, export *waxwingpick.KVExport) {
		export.Tokens = (kvBlocks + 1) * longPromptTokens
	}},
}

// TestReferencesThatDoNotHoldAreRefused invalidates a reference or breaks its fetch. The import must be refused, and no
// engine may keep memory for it.
func TestReferencesThatDoNotHoldAreRefused(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		for _, f := range directFaults {
			t.Run(f.name, func(t *testing.T) {
				a, b, export := offerLongPrompt(t, impl)
				f.fault(t, a, b, &export)
				_, err := b.client.ImportKV(t.Context(), export)
				require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
				require.Zero(t, b.kvBlocksUsed(t))
				a.clock.Advance(handleLifetime)
				a.engine.Up()
				require.Zero(t, a.kvBlocksUsed(t))
			})
		}
	})
}

// TestTableCatchesUncheckedReferences checks that directFaults detect an engine that checks neither token nor boot ID.
func TestTableCatchesUncheckedReferences(t *testing.T) {
	for _, f := range directFaults {
		if !f.caught {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			a, b, export := offerLongPrompt(t, inProcess)
			f.fault(t, a, b, &export)
			a.engine.SetFaults(standin.Faults{TrustFetch: true})
			_, err := b.client.ImportKV(t.Context(), export)
			require.False(t, errors.Is(err, waxwingpick.ErrEngineRefused), "the missing check is not detected: %v", err)
		})
	}
}

// TestLostTransfersLeaveNothing loses the response to an import, and crashes either engine during the fetch. No engine
// may keep memory for the import.
func TestLostTransfersLeaveNothing(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		a, b, export := offerLongPrompt(t, impl)
		b.engine.LoseResponses("/kv/import", 1)
		_, err := b.client.ImportKV(t.Context(), export)
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
		require.Zero(t, b.kvBlocksUsed(t))
		for name, crash := range map[string]func(){
			"exporter": a.engine.Crash,
			"importer": b.engine.Crash,
		} {
			t.Run(name+" crashes in the fetch", func(t *testing.T) {
				export := a.offer(t, name, longPrompt)
				a.engine.SetFaults(standin.Faults{SlowResponses: 1000})
				before := a.engine.Slowed()
				failed := make(chan error)
				go func() {
					_, err := b.client.ImportKV(t.Context(), export)
					failed <- err
				}()
				require.Eventually(t, func() bool { return a.engine.Slowed() > before }, time.Minute, time.Millisecond)
				require.Equal(t, 1, b.engine.Load().KVBlocksUsed, "memory must be allocated before the data arrives")
				crash()
				a.clock.Advance(time.Second)
				require.Error(t, <-failed)
				a.engine.SetFaults(standin.Faults{})
				a.engine.Up()
				b.engine.Up()
				require.Zero(t, b.kvBlocksUsed(t))
				a.clock.Advance(handleLifetime)
				require.Zero(t, a.kvBlocksUsed(t))
			})
		}
	})
}
