package plan

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// Rank orders the candidates for a key by rendezvous hashing, the highest rank first. Keys are distributed evenly over
// the candidates, and few of them move when a candidate is added or removed.
func Rank(key string, candidates []waxwingpick.InstanceID) []waxwingpick.InstanceID {
	ranked := slices.Clone(candidates)
	slices.Sort(ranked)
	ranked = slices.Compact(ranked)
	weights := make(map[waxwingpick.InstanceID]uint64, len(ranked))
	for _, c := range ranked {
		weights[c] = weight(key, c)
	}
	slices.SortStableFunc(ranked, func(a, b waxwingpick.InstanceID) int {
		return cmp.Compare(weights[b], weights[a])
	})
	return ranked
}

func weight(key string, candidate waxwingpick.InstanceID) uint64 {
	d := xxhash.New()
	for _, part := range []string{key, "\x00", string(candidate)} {
		// Writes to a hash never fail.
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}
