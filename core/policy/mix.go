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

// Work is the work in reports since the previous observation.
type Work struct {
	Requests      float64
	PrefillTokens float64
	DecodeTokens  float64
}

// Demand is the rate of arriving work.
type Demand struct {
	RequestsPerSecond float64
	// PrefillEngines and DecodeEngines are the numbers of engines that the work occupies.
	PrefillEngines float64
	DecodeEngines  float64
	// PrefillError and DecodeError are the standard deviations of PrefillEngines and DecodeEngines.
	PrefillError float64
	DecodeError  float64
}

// Rates are the tokens per second that one engine processes in a role.
type Rates struct {
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
}

// Mix smooths the work of a service and tracks its trend.
type Mix struct {
	halfLife      time.Duration
	trendHalfLife time.Duration
	last          time.Time
	step          time.Duration
	observed      time.Duration
	level         [numWorks]float64
	trend         [numWorks]float64
	// rate is the newest rate. variance is that of single rates, estimated from successive differences because a shift
	// of the level hardly affects those.
	rate     [numWorks]float64
	variance [numWorks]float64
}

const (
	requests = iota
	prefillTokens
	decodeTokens
	numWorks
)

// MixOption configures a Mix.
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

// NewMix returns a Mix without observations. It fails if an option is out of bounds.
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

// Observe adds the work that was reported between the last call and now. The first call only sets the start time.
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
	for i, v := range [numWorks]float64{w.Requests, w.PrefillTokens, w.DecodeTokens} {
		m.smooth(i, v/step.Seconds(), step)
	}
}

func (m *Mix) smooth(i int, rate float64, step time.Duration) {
	// During the first half-life all reports have the same weight, so that the first one does not dominate.
	weight := max(weightOf(step, m.halfLife), step.Seconds()/m.observed.Seconds())
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
	m.trend[i] += weightOf(step, m.trendHalfLife) * (slope - m.trend[i])
}

// Ready reports whether the observed period is long enough for a forecast.
func (m *Mix) Ready() bool {
	return m.observed >= m.halfLife
}

// Demand forecasts the work at the given time ahead, in engines of the given rates.
func (m *Mix) Demand(ahead time.Duration, r Rates) Demand {
	at := func(i int) float64 {
		// The trend is limited to between half and double the current work.
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

// deviation returns the standard deviation of a forecast: that of the smoothed rate plus that of the trend over the
// time ahead.
func (m *Mix) deviation(i int, ahead time.Duration) float64 {
	weight := weightOf(m.step, m.halfLife)
	level := math.Sqrt(m.variance[i] * weight / (2 - weight))
	return level * (1 + ahead.Seconds()*math.Ln2/m.trendHalfLife.Seconds())
}

// weightOf returns the weight of a new observation after a step for the given half-life.
func weightOf(step, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-step.Seconds()/halfLife.Seconds())
}
