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

// TestOwnersAgreeAndMoveLittle draws entries, lets one go and one fail, and compares what the others say.
func TestOwnersAgreeAndMoveLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		n := rapid.IntRange(2, 9).Draw(t, "entries")
		ids := make([]waxwingpick.InstanceID, n)
		for i := range ids {
			ids[i] = waxwingpick.InstanceID(fmt.Sprintf("entry-%d", i))
		}
		// A process that is no entry hands everything over, so it shows every owner.
		watcher := ledger.NewOwners("watcher")
		watcher.SetEntries(ids)
		var before [ledger.ClaimShards]waxwingpick.InstanceID
		for shard := range before {
			before[shard] = watcher.Owner(now, shard).OrElse("")
			require.NotEmpty(t, before[shard])
		}
		owned := 0
		for _, id := range ids {
			o := ledger.NewOwners(id)
			o.SetEntries(ids)
			first, _ := o.Shares()
			owned += first
			for shard := range before {
				got, elsewhere := o.Owner(now, shard).Get()
				require.Equal(t, before[shard] != id, elsewhere)
				require.True(t, !elsewhere || got == before[shard])
			}
		}
		require.Equal(t, ledger.ClaimShards, owned)

		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		failed := rapid.SampledFrom(ids).Draw(t, "failed")
		watcher.Failed(now, failed)
		for shard := range before {
			require.NotEqual(t, failed, watcher.Owner(now, shard).OrElse(""))
			require.Equal(t, before[shard], watcher.Owner(now.Add(time.Minute), shard).OrElse(""))
		}
		watcher.Failed(now.Add(time.Minute), failed)
		for shard := range before {
			require.NotEqual(t, failed, watcher.Owner(now.Add(time.Minute+9*time.Second), shard).OrElse(""))
		}
		watcher.Worked(failed)
		watcher.SetEntries(append(ids[:gone:gone], ids[gone+1:]...))
		for shard := range before {
			if after := watcher.Owner(now.Add(time.Minute), shard).OrElse(""); before[shard] != ids[gone] {
				require.Equal(t, before[shard], after)
			}
		}
	})
}

// TestHandedWritesAreBounded hands over what no entry sends.
func TestHandedWritesAreBounded(t *testing.T) {
	claims := ledger.NewKey("tanzplan", "01890000-0000-7000-8000-000000000000").Path()
	for name, writes := range map[string][]ledger.ClaimWrite{
		"too many": make([]ledger.ClaimWrite, ledger.MaxHandover+1),
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
			require.ErrorIs(t, err, ledger.ErrBadHandover)
		})
	}
}
