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
	// callTime is the time of a sending and of the engine's first step, in milliseconds.
	callTime = 12.0
)

// paceWeight is the share of a new measurement in the pace of a role.
const paceWeight = 0.05

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

// pace is how much longer engines of a role take than the figures say, measured over all of them.
type pace struct {
	factor float64
}

func (p *pace) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.factor)
}

// observe takes the time that work of a given size took, without waiting.
func (p *pace) observe(work, took time.Duration) {
	if work <= 0 || took <= 0 {
		return
	}
	sample := float64(took) / float64(work)
	sample = math.Max(leastPace, math.Min(mostPace, sample))
	p.factor += paceWeight * (sample - p.factor)
}
