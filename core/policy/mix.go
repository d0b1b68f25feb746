package policy

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// The defaults of a Mix.
const (
	DefaultHalfLife      = 10 * time.Second
	DefaultTrendHalfLife = 60 * time.Second
)

// Work is what reports added since the last one.
type Work struct {
	Requests      float64
	PrefillTokens float64
	DecodeTokens  float64
}

// Demand is the arriving work per second.
type Demand struct {
	RequestsPerSecond float64
	// PrefillEngines and DecodeEngines are the engines that the work keeps busy.
	PrefillEngines float64
	DecodeEngines  float64
	// PrefillError and DecodeError are the standard deviations of the two.
	PrefillError float64
	DecodeError  float64
}

// Rates are the tokens per second that one engine computes in a role.
type Rates struct {
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
}

// Mix smooths the work of a service and follows its trend.
type Mix struct {
	halfLife      time.Duration
	trendHalfLife time.Duration
	last          time.Time
	step          time.Duration
	observed      time.Duration
	level         [works]float64
	trend         [works]float64
	// rate is the newest rate, variance that of single rates, from successive differences, which a shift barely moves.
	rate     [works]float64
	variance [works]float64
}

const (
	requests = iota
	prefillTokens
	decodeTokens
	works
)

// MixOption sets up a Mix.
type MixOption func(*Mix) error

// HalfLives sets the half-lives of the smoothed work and of its trend.
func HalfLives(level, trend time.Duration) MixOption {
	return func(m *Mix) error {
		if level <= 0 || trend <= 0 {
			return eris.New("half-lives must be positive")
		}
		m.halfLife = level
		m.trendHalfLife = trend
		return nil
	}
}

// NewMix returns a Mix that has seen no work.
func NewMix(opts ...MixOption) (*Mix, error) {
	m := &Mix{
		halfLife:      DefaultHalfLife,
		trendHalfLife: DefaultTrendHalfLife,
	}
	for _, opt := range opts {
		if err := opt(m); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Observe adds the work that was reported between the last call and now; the first call only starts the clock.
func (m *Mix) Observe(now time.Time, w Work) {
	if m.last.IsZero() {
		m.last = now
		return
	}
	step := now.Sub(m.last)
	if step <= 0 {
		return
	}
	m.last = now
	m.step = step
	m.observed += step
	for i, v := range [works]float64{w.Requests, w.PrefillTokens, w.DecodeTokens} {
		m.smooth(i, v/step.Seconds(), step)
	}
}

func (m *Mix) smooth(i int, rate float64, step time.Duration) {
	// The first half-life weighs all reports alike, so that the first one does not decide alone.
	weight := max(fading(step, m.halfLife), step.Seconds()/m.observed.Seconds())
	if m.observed > step {
		diff := rate - m.rate[i]
		m.variance[i] += weight * (diff*diff/2 - m.variance[i])
	}
	m.rate[i] = rate
	before := m.level[i]
	m.level[i] += weight * (rate - before)
	if m.observed < m.trendHalfLife {
		return
	}
	slope := (m.level[i] - before) / step.Seconds()
	m.trend[i] += fading(step, m.trendHalfLife) * (slope - m.trend[i])
}

// Ready reports whether enough was observed for a forecast.
func (m *Mix) Ready() bool {
	return m.observed >= m.halfLife
}

// Demand forecasts the work at a time ahead, in engines of the given rates.
func (m *Mix) Demand(ahead time.Duration, r Rates) Demand {
	at := func(i int) float64 {
		// A trend is not followed beyond half and double the present work.
		v := m.level[i] + m.trend[i]*ahead.Seconds()
		return min(max(v, m.level[i]/2), m.level[i]*2)
	}
	return Demand{
		RequestsPerSecond: at(requests),
		PrefillEngines:    at(prefillTokens) / r.PrefillTokensPerSecond,
		DecodeEngines:     at(decodeTokens) / r.DecodeTokensPerSecond,
		PrefillError:      m.deviation(prefillTokens, ahead) / r.PrefillTokensPerSecond,
		DecodeError:       m.deviation(decodeTokens, ahead) / r.DecodeTokensPerSecond,
	}
}

// deviation returns the standard deviation of a forecast: that of the smoothed rate, and that of the trend over the
// time ahead.
func (m *Mix) deviation(i int, ahead time.Duration) float64 {
	weight := fading(m.step, m.halfLife)
	level := math.Sqrt(m.variance[i] * weight / (2 - weight))
	return level * (1 + ahead.Seconds()*math.Ln2/m.trendHalfLife.Seconds())
}

// fading returns the weight of a report after a step under a half-life.
func fading(step, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-step.Seconds()/halfLife.Seconds())
}
