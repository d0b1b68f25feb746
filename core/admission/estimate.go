package admission

import (
	"math"
	"time"

	"waxwingpick"
)

const (
	// residenceSmoothing and intervalSmoothing are the weights of a new sample in the moving averages.
	residenceSmoothing = 0.1
	intervalSmoothing  = 0.1
	// tailDeviations is the number of mean deviations above the mean within which most requests end.
	tailDeviations = 3
	// rateMemory is the averaging window of the prefill rate, in seconds of prefill activity.
	rateMemory = 30.0
)

// meter measures the engine's rates from request events.
type meter struct {
	prefillRate   float64
	tokenInterval float64
	// residence is the mean run time in seconds of the requests of each kind, deviation the mean deviation from it.
	residence [kinds]float64
	deviation [kinds]float64
	// busySince is when prefill activity started, or when the last prompt was done; zero while idle.
	busySince time.Time
	// tokens and seconds are decaying sums. Their ratio is the prefill rate.
	tokens, seconds float64
}

// newMeter returns a meter in which the configured rates have the weight of a quarter of the averaging window.
func newMeter(prefillRate, tokenInterval float64) meter {
	return meter{
		prefillRate:   prefillRate,
		tokenInterval: tokenInterval,
		tokens:        prefillRate * rateMemory / 4,
		seconds:       rateMemory / 4,
	}
}

// prefillStarted starts a period of prefill activity unless one is in progress.
func (m *meter) prefillStarted(now time.Time) {
	if m.busySince.IsZero() {
		m.busySince = now
	}
}

// prefillDone records computed prompt tokens. idle means that no other prompt waits for prefill.
func (m *meter) prefillDone(now time.Time, tokens int, idle bool) {
	if m.busySince.IsZero() {
		return
	}
	m.tokens += float64(tokens)
	m.seconds += now.Sub(m.busySince).Seconds()
	if over := m.seconds / rateMemory; over > 1 {
		m.tokens /= over
		m.seconds /= over
	}
	m.prefillRate = max(1, m.tokens/m.seconds)
	m.busySince = now
	if idle {
		m.busySince = time.Time{}
	}
}

// observeDecode records the time that a number of tokens after the first one took.
func (m *meter) observeDecode(took time.Duration, tokens int) {
	if tokens < 1 || took <= 0 {
		return
	}
	sample := took.Seconds() / float64(tokens)
	m.tokenInterval += intervalSmoothing * (sample - m.tokenInterval)
}

// observeResidence records the run time of a request of the kind.
func (m *meter) observeResidence(k kind, took time.Duration) {
	if took <= 0 {
		return
	}
	if m.residence[k] == 0 {
		m.residence[k] = took.Seconds()
		return
	}
	difference := took.Seconds() - m.residence[k]
	m.residence[k] += residenceSmoothing * difference
	m.deviation[k] += residenceSmoothing * (math.Abs(difference) - m.deviation[k])
}

// tail returns the time in seconds within which most requests of the kind end.
func (m *meter) tail(k kind) float64 {
	return m.residence[k] + tailDeviations*m.deviation[k]
}

// service predicts the time from the start of a request to its last token.
func (c *Controller) service(req Request, prefill int) time.Duration {
	ahead := c.runningPrefill[kindQuick]
	if req.Class == waxwingpick.ClassLong {
		ahead += c.runningPrefill[kindLong]
	}
	seconds := float64(ahead+prefill)/c.meter.prefillRate + float64(req.OutputTokens)*c.meter.tokenInterval
	return time.Duration(seconds * float64(time.Second))
}

// margin returns the time before the deadline by which a request has to start. The duration of a call to a plain
// service is unknown, so the time within which most earlier calls ended is assumed. It is at most half of the time
// left, so that a service that became slow still receives calls to measure.
func (c *Controller) margin(now time.Time, req Request, service time.Duration) time.Duration {
	if req.Continuation {
		return minService
	}
	needed := time.Duration(serviceShare * float64(service))
	if c.settings.limiter == nil {
		return needed
	}
	tail := time.Duration(c.meter.tail(kindOfClass(req.Class)) * float64(time.Second))
	return max(needed, min(tail, req.Deadline.Sub(now)/2))
}

// wait predicts how long a request that needs the blocks waits behind the requests with a smaller key.
func (c *Controller) wait(k kind, key int64, blocks, prefill int) time.Duration {
	if c.fits(k, blocks, prefill) && !c.blocked(k, key) {
		return 0
	}
	ahead := c.queues[kindQuick].ahead(key) + c.queues[kindLong].ahead(key)
	seconds := c.slotWait(ahead)
	seconds = max(seconds, c.blockWait(ahead, blocks))
	if k == kindLong {
		seconds = max(seconds, c.longPrefillWait(key, prefill))
	}
	return time.Duration(seconds * float64(time.Second))
}

func (c *Controller) slotWait(ahead int) float64 {
	missing := ahead + 1 - (c.slots() - c.runningTotal())
	return float64(max(0, missing)) * c.residence(c.running) / float64(c.slots())
}

func (c *Controller) blockWait(ahead, blocks int) float64 {
	if c.settings.blocks == 0 {
		return 0
	}
	if queued := c.queued(); queued > 0 {
		blocks += c.queuedBlocks * ahead / queued
	}
	missing := blocks - (c.settings.blocks - c.blocksTotal())
	return float64(max(0, missing)) * c.residence(c.blocks) / float64(c.settings.blocks)
}

func (c *Controller) longPrefillWait(key int64, prefill int) float64 {
	tokens := c.runningPrefill[kindLong] + prefill - c.settings.longPrefillTokens
	if longs := len(c.queues[kindLong].jobs); longs > 0 {
		tokens += c.queuedPrefill[kindLong] * c.queues[kindLong].ahead(key) / longs
	}
	return float64(max(0, tokens)) / c.meter.prefillRate
}

// residence returns the mean time in seconds that resources in use stay in use. A full target frees its entire
// capacity once in that time.
func (c *Controller) residence(inUse [kinds]int) float64 {
	sum, n := 0.0, 0
	for k, used := range inUse {
		sum += float64(used) * c.meter.residence[k]
		n += used
	}
	if n == 0 {
		return max(c.meter.residence[kindQuick], c.meter.residence[kindLong])
	}
	return sum / float64(n)
}

// retryAfter limits a predicted wait to the range sent to callers.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Load returns the load report for entries.
func (c *Controller) Load(now time.Time) waxwingpick.TargetLoad {
	quickPrefill := c.runningPrefill[kindQuick] + c.queuedPrefill[kindQuick]
	longPrefill := c.runningPrefill[kindLong] + c.queuedPrefill[kindLong]
	return waxwingpick.TargetLoad{
		Running:                c.runningTotal(),
		Queued:                 c.queued(),
		Slots:                  c.slots(),
		PrefillTokens:          quickPrefill + longPrefill,
		QuickPrefillTokens:     quickPrefill,
		KVBlocksUsed:           c.blocksTotal(),
		KVBlocksTotal:          c.settings.blocks,
		QuickWaitMillis:        c.wait(kindQuick, now.Add(quickHorizon).UnixNano(), 1, 0).Milliseconds(),
		LongWaitMillis:         c.wait(kindLong, now.Add(longHorizon).UnixNano(), 1, c.settings.blockTokens).Milliseconds(),
		PrefillTokensPerSecond: c.meter.prefillRate,
		TokenIntervalMicros:    int64(c.meter.tokenInterval * microsPerSecond),
		Leaving:                c.draining,
	}
}
