package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
)

// steadyChanges returns the number of role changes in a fleet of six prefill and six decode engines during an hour of
// constant demand whose reported work has a log-normal noise with a standard deviation of a third.
func steadyChanges(t *testing.T, seed uint64, opts ...Option) int {
	source := rand.New(rand.NewPCG(seed, 1))
	d, err := NewDecider(opts...)
	require.NoError(t, err)
	mix, err := NewMix()
	require.NoError(t, err)
	rates := Rates{
		PrefillTokensPerSecond: 10_000,
		DecodeTokensPerSecond:  1000,
	}
	engines := steadyFleet()
	rules := splitOnly()
	noise := func() float64 {
		return math.Exp(source.NormFloat64() / 3)
	}
	changes := 0
	now := time.Unix(1000, 0)
	for range 3600 {
		now = now.Add(time.Second)
		mix.Observe(now, Work{
			Requests:      40 * noise(),
			PrefillTokens: 44_000 * noise(),
			DecodeTokens:  5500 * noise(),
		})
		for _, c := range d.Decide(now, engines, waxwingpick.Some(mix.Demand(d.Ahead(rules), rates)), rules) {
			changes++
			for i := range engines {
				if engines[i].Target == c.Target {
					engines[i].Role = c.To
				}
			}
		}
	}
	return changes
}

func steadyFleet() []Engine {
	var engines []Engine
	for i := range 12 {
		engines = append(engines, Engine{
			Target: waxwingpick.TargetID(rune('a' + i)),
			Zone:   waxwingpick.AvailabilityZone(rune('x' + i%3)),
			Role:   []waxwingpick.Role{waxwingpick.RolePrefill, waxwingpick.RoleDecode}[i%2],
			Ready:  true,
			Slots:  32,
		})
	}
	return engines
}

func splitOnly() Rules {
	return Rules{
		Prefill: Bound{
			Min: 1,
			Max: 12,
		},
		Decode: Bound{
			Min: 1,
			Max: 12,
		},
		Price:      20,
		InFlight:   1,
		ChangeTime: testChangeTime,
	}
}

func TestSteadyMixSeesNoFlapping(t *testing.T) {
	for seed := range uint64(20) {
		require.LessOrEqual(t, steadyChanges(t, seed), len(steadyFleet()), "at most one change per engine in an hour")
	}
}

func TestFlappingIsSeenWhereForecastsAreTrusted(t *testing.T) {
	require.Greater(t, steadyChanges(t, 1, Confidence(0)), len(steadyFleet()))
}
