package placement

import (
	"time"

	"waxwingpick"
)

const (
	// copyCost is the time that a copy of KV cache takes besides its bytes: a round trip between the engines, and the wait
	// behind other copies on their links.
	copyCost = 20 * time.Millisecond
	// leastCopied is the smallest beginning of a prompt, in tokens, that is worth a copy: reading it takes some 40 ms.
	leastCopied = 2000
	// copyAge is how long ago an engine must have been given a part to be thought to have read it: longer than most wait
	// for their first event.
	copyAge = time.Second
	// farFactor is how much longer a transfer between availability zones takes.
	farFactor = 2
)

// copying is a copy of the beginning of a prompt from the KV cache of another engine.
//
// The load pattern is shared beginnings that are asked for more often than the engine which keeps them can serve: others
// then read them again, which takes some ten times as long as a copy. Engines are chosen as if they read again
// nevertheless, since what a copy brings into their memory drives out parts that no other engine may keep.
type copying struct {
	from waxwingpick.Target
	// held are the tokens of the prompt that the engine keeps after the copy.
	held int
	// took is the time of the copy; zero where the engine is thought to keep as much already, and copies only what it has
	// lost without anybody's knowing.
	took time.Duration
}

// copyFor returns the copy from the engine that keeps most of a prompt of which the given one is thought to hold a part.
func (f *Fleet) copyFor(now time.Time, e *engine, parts Parts, held int) waxwingpick.Option[copying] {
	best := waxwingpick.None[copying]()
	if !f.copies {
		return best
	}
	most := leastCopied
	for _, id := range f.order {
		from := f.engines[id]
		if from == e || from.target.Leaving || from.answers.Out(now) {
			continue
		}
		kept := from.cache.heldSince(now.Add(-copyAge), parts)
		if kept < most || kept == most && from.target.Zone != e.target.Zone {
			continue
		}
		most = kept
		c := copying{
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

// transferTime is the time to send the KV cache of some tokens from one engine to another.
func (f *Fleet) transferTime(tokens int, from, to waxwingpick.Target) time.Duration {
	rate := f.traits.LinkBytesPerSecond
	if rate <= 0 {
		return 0
	}
	bytes := float64(max(0, tokens)) * float64(f.traits.TokenBytes)
	took := time.Duration(bytes / rate * float64(time.Second))
	if from.Zone != to.Zone {
		took *= farFactor
	}
	return took
}
