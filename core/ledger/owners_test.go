package ledger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/core/timer"
)

// TestOwnersAgreeAndMoveLittle draws entries, removes one, lets one fail, and compares the owners that the others select.
func TestOwnersAgreeAndMoveLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		n := rapid.IntRange(2, 9).Draw(t, "entries")
		ids := make([]waxwingpick.InstanceID, n)
		for i := range ids {
			ids[i] = waxwingpick.InstanceID(fmt.Sprintf("entry-%d", i))
		}
		// A process that is no entry forwards all claims, so it shows every owner.
		observer := ledger.NewOwners("watcher")
		observer.SetEntries(ids)
		var before [ledger.ClaimShards]waxwingpick.InstanceID
		for shard := range before {
			before[shard] = observer.Owner(now, shard).OrElse("")
			require.NotEmpty(t, before[shard])
		}
		owned := 0
		for _, id := range ids {
			o := ledger.NewOwners(id)
			o.SetEntries(ids)
			first, _ := o.ShardCounts()
			owned += first
			for shard := range before {
				got, elsewhere := o.Owner(now, shard).Get()
				require.Equal(t, before[shard] != id, elsewhere)
				require.True(t, !elsewhere || got == before[shard])
			}
		}
		require.Equal(t, ledger.ClaimShards, owned)

		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		failed := rapid.SampledFrom(ids).Draw(t, "failed")
		observer.Failed(now, failed)
		for shard := range before {
			require.NotEqual(t, failed, observer.Owner(now, shard).OrElse(""))
			require.Equal(t, before[shard], observer.Owner(now.Add(time.Minute), shard).OrElse(""))
		}
		observer.Failed(now.Add(time.Minute), failed)
		for shard := range before {
			require.NotEqual(t, failed, observer.Owner(now.Add(time.Minute+9*time.Second), shard).OrElse(""))
		}
		observer.Succeeded(failed)
		observer.SetEntries(append(ids[:removed:removed], ids[removed+1:]...))
		for shard := range before {
			if after := observer.Owner(now.Add(time.Minute), shard).OrElse(""); before[shard] != ids[removed] {
				require.Equal(t, before[shard], after)
			}
		}
	})
}

// TestHandedWritesAreBounded forwards writes that no entry sends.
func TestHandedWritesAreBounded(t *testing.T) {
	claims := ledger.NewKey("tanzplan", "01890000-0000-7000-8000-000000000000").Path()
	for name, writes := range map[string][]ledger.ClaimWrite{
		"too many": make([]ledger.ClaimWrite, ledger.MaxForwardedWrites+1),
		"too large": {{
			Key:   claims,
			Value: []byte(`"` + strings.Repeat("a", 1<<20) + `"`),
		}},
		"another record": {{
			Key:   "waxwingpick/config",
			Value: []byte("{}"),
		}},
		"an opaque key": {{
			Key:   ledger.NewKey("tanzplan", "booking").Path(),
			Value: []byte("{}"),
		}},
		"not JSON": {{
			Key:   claims,
			Value: []byte("}"),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := ledger.New(nil, nil, timer.NewManual(start))
			require.NoError(t, err)
			_, err = l.Commit(t.Context(), writes)
			require.ErrorIs(t, err, ledger.ErrInvalidForward)
		})
	}
}
