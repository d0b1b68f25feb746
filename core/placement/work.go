package placement

import (
	"math"
	"time"
)

// Figures of an engine before any was measured; the measured pace scales them from then on. They are typical of the
// engines that the project's stand-ins model.
const (
	// tokenTime is the reading time of one prompt token at an engine with the role prefill, in milliseconds.
	tokenTime = 0.0165
	// pairTime is the time for one pair of tokens of which the later attends to the earlier, in milliseconds.
	pairTime = 0.5e-6
	// decodeSlowdown is how much more slowly an engine with another role reads prompts between the tokens that it makes.
	decodeSlowdown = 2.5
	// firstBase is the time from a sending to the first event that has nothing to do with the prompt's length.
	firstBase = 20 * time.Millisecond
)

const (
	// paceWeight is the share of a new measurement in what is known of a role.
	paceWeight = 0.05
	// smallWork is prompt work that hardly adds to the base, so that it measures the base.
	smallWork = 12 * time.Millisecond
)

// Bounds of the measured pace, as a factor of the figures above: one bad sample must not make engines look idle or dead.
const (
	leastPace = 0.25
	mostPace  = 8.0
)

// readTime returns the time to read the rest of a prompt of which a beginning is held, at a pace of 1.
func readTime(tokens, held int) time.Duration {
	rest := float64(max(0, tokens-held))
	pairs := rest * (float64(held) + rest/2)
	return milliseconds(rest*tokenTime + pairs*pairTime)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// pace is how fast engines of a role read prompts, measured over all of them.
type pace struct {
	// factor is how much longer prompt work takes than the figures say.
	factor float64
	// base is the time to the first event beyond that work.
	base time.Duration
}

func (p *pace) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.factor)
}

// observe takes the time to the first event of a request that waited for no other one.
func (p *pace) observe(work, took time.Duration) {
	if work <= smallWork {
		base := max(0, took-p.scale(work))
		p.base += time.Duration(paceWeight * float64(base-p.base))
		return
	}
	sample := float64(took-p.base) / float64(work)
	sample = math.Max(leastPace, math.Min(mostPace, sample))
	p.factor += paceWeight * (sample - p.factor)
}
