package placement

import (
	"math"
	"time"
)

// Initial performance of an engine, later scaled by the measured pace. The values are typical of the engines that the
// project's test engines simulate.
const (
	// tokenMillis is the computation time of one prompt token at an engine with the role prefill, in milliseconds.
	tokenMillis = 0.0165
	// pairMillis is the time for one pair of tokens in which the later one attends to the earlier one, in milliseconds.
	pairMillis = 0.5e-6
	// decodeSlowdown is the factor by which an engine with another role computes prompts more slowly between its decode
	// steps.
	decodeSlowdown = 2.5
	// initialBase is the part of the time to the first event that does not depend on the length of the prompt.
	initialBase = 20 * time.Millisecond
)

const (
	// paceWeight is the weight of a new sample in the moving average of a role.
	paceWeight = 0.05
	// maxBaseSampleWork is the prompt work up to which a sample measures the base time.
	maxBaseSampleWork = 12 * time.Millisecond
)

// Limits of the measured pace as a factor of the initial values, so that one bad sample cannot make engines look idle
// or dead.
const (
	minPace = 0.25
	maxPace = 8.0
)

// prefillTime returns the time to compute a prompt of which held tokens are cached, at a pace of 1.
func prefillTime(tokens, held int) time.Duration {
	rest := float64(max(0, tokens-held))
	pairs := rest * (float64(held) + rest/2)
	return milliseconds(rest*tokenMillis + pairs*pairMillis)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// pace is the prompt speed of all engines of a role.
type pace struct {
	// factor is the ratio of the measured to the initial computation time.
	factor float64
	// base is the part of the time to the first event that is not prompt computation.
	base time.Duration
}

func (p *pace) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.factor)
}

// observe records the time to the first event of a request that did not wait for another one.
func (p *pace) observe(work, took time.Duration) {
	if work <= maxBaseSampleWork {
		base := max(0, took-p.scale(work))
		p.base += time.Duration(paceWeight * float64(base-p.base))
		return
	}
	sample := float64(took-p.base) / float64(work)
	sample = math.Max(minPace, math.Min(maxPace, sample))
	p.factor += paceWeight * (sample - p.factor)
}
