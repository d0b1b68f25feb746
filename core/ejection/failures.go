package ejection

import (
	"math"
	"time"
)

const (
	// failedWeight is the weight of a new response in the share of failed ones, rejectedWeight in that of rejected ones.
	failedWeight   = 0.2
	rejectedWeight = 0.1
	// rejectedMargin is by how much the share of rejected responses has to exceed that of other targets to count. Callers' errors are
	// distributed by chance.
	rejectedMargin = 0.25
	// failuresHalfLife is the time in which both shares halve without further responses, maxHalfLives when they are forgotten.
	failuresHalfLife = time.Second
	maxHalfLives     = 10
)

// Response is what became of a request that was sent to a target.
type Response uint8

// The responses of targets.
const (
	// ResponseServed means that the target served the request.
	ResponseServed Response = iota
	// ResponseRejected means that the target responded with a client error, for which either the caller or the target may be the cause.
	ResponseRejected
	// ResponseFailed means that the target responded with a failure.
	ResponseFailed
	// ResponseNone means that the target did not run the request or did not respond, or that the request was given up.
	ResponseNone
)

// Failures are the shares of a target's recent requests that it did not serve or rejected. They fade, since a target that is avoided gets
// no requests that would show its recovery. The zero value has none. It is not safe for concurrent use.
type Failures struct {
	failed   float64
	rejected float64
	at       time.Time
}

// Observe adds a response.
func (f *Failures) Observe(now time.Time, r Response) {
	fading := f.fading(now)
	f.failed = average(f.failed*fading, r == ResponseFailed || r == ResponseNone, failedWeight)
	f.rejected = average(f.rejected*fading, r == ResponseRejected, rejectedWeight)
	f.at = now
}

// Rejected returns the share of rejected requests.
func (f *Failures) Rejected(now time.Time) float64 {
	return f.rejected * f.fading(now)
}

// Share returns the share of requests that the target is expected to fail. others is the least share of rejected requests among the
// targets of its service.
func (f *Failures) Share(now time.Time, others float64) float64 {
	return f.failed*f.fading(now) + max(0, f.Rejected(now)-others-rejectedMargin)
}

// fading returns the factor of both shares.
func (f *Failures) fading(now time.Time) float64 {
	halfLives := max(0, now.Sub(f.at).Seconds()/failuresHalfLife.Seconds())
	if f.failed == 0 && f.rejected == 0 || halfLives > maxHalfLives {
		return 0
	}
	return math.Exp2(-halfLives)
}

func average(share float64, counts bool, weight float64) float64 {
	if counts {
		return share + weight*(1-share)
	}
	return share - weight*share
}
