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
	dossier       = "a long dossier of many words"
	dossierTokens = 6
	fewPieces     = 4
	// keptTime is far longer than the clock moves while an engine computes.
	keptTime = 1000 * time.Hour
)

// offering returns two engines, of which the first holds the KV cache of the dossier, and a reference to it.
func offering(t *testing.T, sys system) (a, b fixture, export waxwingpick.KVExport) {
	t.Helper()
	opts := []standin.Option{standin.DirectKV(), standin.Memory(fewPieces, dossierTokens), standin.HandleLifetime(keptTime)}
	a, b = newFixture(t, sys, opts...), newFixture(t, sys, opts...)
	return a, b, a.offer(t, "leg", dossier)
}

// offer has the engine compute KV cache and keep it for another.
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

func (f fixture) pieces(t *testing.T) int {
	t.Helper()
	load, err := f.client.Load(t.Context())
	require.NoError(t, err)
	return load.PiecesUsed
}

func TestEnginesFetchFromEachOther(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		a, b, export := offering(t, sys)
		require.Nil(t, export.Data)
		state, err := a.client.State(t.Context())
		require.NoError(t, err)
		require.Equal(t, state.KVAddress, export.Reference.Address)
		require.Equal(t, state.BootID, export.Reference.BootID)
		req := request("answer", dossier, 8)
		req.KVHandle, err = b.client.ImportKV(t.Context(), export)
		require.NoError(t, err)
		s := b.start(t, req)
		b.clock.Advance(time.Second)
		text, err := read(s, -1)
		require.NoError(t, err)
		require.Equal(t, answer(dossier, 0, 8), text)
		require.Zero(t, b.engine.Record().PrefillTokens)
		require.NoError(t, a.client.Cancel(t.Context(), "leg"))
		require.Zero(t, a.pieces(t))
		require.Zero(t, b.pieces(t))
	})
}

func TestRunningStreamIsFetched(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		a, b := newFixture(t, sys, standin.DirectKV(), standin.HandleLifetime(time.Second)), newFixture(t, sys, standin.DirectKV())
		s := a.start(t, request("s", "season", 10))
		a.clock.Advance(4 * tokenTime)
		first, err := read(s, 4)
		require.NoError(t, err)
		export, err := a.client.OfferKV(t.Context(), "s")
		require.NoError(t, err)
		// What is generated behind the offer belongs to the engine that goes on.
		a.clock.Advance(2 * tokenTime)
		rest := request("s2", "season"+first, 6)
		rest.KVHandle, err = b.client.ImportKV(t.Context(), export)
		require.NoError(t, err)
		moved := b.start(t, rest)
		b.clock.Advance(time.Second)
		second, err := read(moved, -1)
		require.NoError(t, err)
		require.Equal(t, answer("season", 0, 10), first+second)
		a.start(t, request("long", "season", 5000))
		expired, err := a.client.OfferKV(t.Context(), "long")
		require.NoError(t, err)
		a.clock.Advance(time.Second)
		_, err = b.client.ImportKV(t.Context(), expired)
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
		late, err := a.client.OfferKV(t.Context(), "s")
		require.ErrorIs(t, err, waxwingpick.ErrEngineRefused, "an ended stream holds nothing: %v", late)
	})
}

// directFaults break the fetch of a reference.
var directFaults = []struct {
	name  string
	fault func(t *testing.T, a, b fixture, export *waxwingpick.KVExport)
	// caught says that the table sees an engine that gives out whatever it holds under a name.
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
	{name: "expired", fault: func(_ *testing.T, a, _ fixture, _ *waxwingpick.KVExport) { a.clock.Advance(keptTime) }},
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
		export.Tokens = (fewPieces + 1) * dossierTokens
	}},
}

// TestReferencesThatDoNotHoldAreRefused breaks a reference or its fetch: nothing is imported or stays held.
func TestReferencesThatDoNotHoldAreRefused(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		for _, f := range directFaults {
			t.Run(f.name, func(t *testing.T) {
				a, b, export := offering(t, sys)
				f.fault(t, a, b, &export)
				_, err := b.client.ImportKV(t.Context(), export)
				require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
				require.Zero(t, b.pieces(t))
				a.clock.Advance(keptTime)
				a.engine.Up()
				require.Zero(t, a.pieces(t))
			})
		}
	})
}

// TestTableCatchesUncheckedReferences runs the table against an engine that checks neither token nor boot ID.
func TestTableCatchesUncheckedReferences(t *testing.T) {
	for _, f := range directFaults {
		if !f.caught {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			a, b, export := offering(t, direct)
			f.fault(t, a, b, &export)
			a.engine.SetFaults(standin.Faults{TrustFetch: true})
			_, err := b.client.ImportKV(t.Context(), export)
			require.False(t, errors.Is(err, waxwingpick.ErrEngineRefused), "the naive way is not seen: %v", err)
		})
	}
}

// TestLostTransfersLeaveNothing breaks the import of a reference where its effect is open.
func TestLostTransfersLeaveNothing(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		a, b, export := offering(t, sys)
		b.engine.LoseAnswers("/kv/import", 1)
		_, err := b.client.ImportKV(t.Context(), export)
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
		require.Zero(t, b.pieces(t))
		for name, crash := range map[string]func(){
			"exporter": a.engine.Crash,
			"importer": b.engine.Crash,
		} {
			t.Run(name+" crashes in the fetch", func(t *testing.T) {
				export := a.offer(t, name, dossier)
				a.engine.SetFaults(standin.Faults{SlowAnswers: 1000})
				before := a.engine.Slowed()
				failed := make(chan error)
				go func() {
					_, err := b.client.ImportKV(t.Context(), export)
					failed <- err
				}()
				require.Eventually(t, func() bool { return a.engine.Slowed() > before }, time.Minute, time.Millisecond)
				require.Equal(t, 1, b.engine.Load().PiecesUsed, "memory is held before the data comes")
				crash()
				a.clock.Advance(time.Second)
				require.Error(t, <-failed)
				a.engine.SetFaults(standin.Faults{})
				a.engine.Up()
				b.engine.Up()
				require.Zero(t, b.pieces(t))
				a.clock.Advance(keptTime)
				require.Zero(t, a.pieces(t))
			})
		}
	})
}
