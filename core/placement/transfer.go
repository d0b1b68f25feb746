package placement

import (
	"time"

	"waxwingpick"
)

const (
	// copyCost is the fixed time of a KV cache copy: a round trip between the engines and the wait for other copies on
	// their links.
	copyCost = 20 * time.Millisecond
	// minCopyTokens is the shortest prefix worth a copy; computing it takes about 40 ms.
	minCopyTokens = 2000
	// minCopyAge is the time after which a prompt sent to an engine is assumed to be computed; most first events arrive
	// sooner.
	minCopyAge = time.Second
	// crossZoneFactor is the factor by which a transfer between availability zones takes longer.
	crossZoneFactor = 2
)

// cacheCopy is a copy of a prompt prefix from the KV cache of another engine.
//
// Some prefixes are requested more often than the engine that caches them can serve. Other engines then compute them
// again, which takes about ten times as long as a copy. Engines are nevertheless selected as if they computed the
// prefix, since a copy evicts segments that may not be cached on any other engine.
type cacheCopy struct {
	from waxwingpick.Target
	// held is the number of prompt tokens cached on the engine after the copy.
	held int
	// took is the duration of the copy. It is zero if the engine is expected to cache as much already and then copies only
	// what was evicted without being noticed.
	took time.Duration
}

// copyFor returns the copy from the engine with the longest cached prefix; held is the expected prefix on engine e.
func (f *Fleet) copyFor(now time.Time, e *engine, parts Parts, held int) waxwingpick.Option[cacheCopy] {
	best := waxwingpick.None[cacheCopy]()
	if !f.copies {
		return best
	}
	longest := minCopyTokens
	for _, id := range f.order {
		from := f.engines[id]
		if from == e || from.target.Leaving || from.health.Ejected(now) {
			continue
		}
		kept := from.cache.heldSince(now.Add(-minCopyAge), parts)
		if kept < longest || kept == longest && from.target.Zone != e.target.Zone {
			continue
		}
		longest = kept
		c := cacheCopy{
			from: from.target,
			held: held,
		}
		if kept > held {
			c.held = kept
			c.took = copyCost + f.transferTime(kept-held, from.target, e.target)
		}
		best = waxwingpick.Some(c)
	}
	return best
}

// transferTime returns the time to send the KV cache of some tokens from one engine to another.
func (f *Fleet) transferTime(tokens int, from, to waxwingpick.Target) time.Duration {
	rate := f.traits.LinkBytesPerSecond
	if rate <= 0 {
		return 0
	}
	bytes := float64(max(0, tokens)) * float64(f.traits.TokenBytes)
	took := time.Duration(bytes / rate * float64(time.Second))
	if from.Zone != to.Zone {
		took *= crossZoneFactor
	}
	return took
}
