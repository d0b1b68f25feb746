package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"waxwingpick/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 2000)
}

// TestFitRecovers checks the fit of a known line with errors +e, -2e, +e. At evenly spaced points these errors affect
// the residual of a least-squares fit only.
func TestFitRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-100, 100).Draw(t, "slope")
		intercept := rapid.Float64Range(-100, 100).Draw(t, "intercept")
		e := rapid.Float64Range(0, 10).Draw(t, "error")
		step := rapid.Float64Range(1, 1000).Draw(t, "step")
		var s series
		for i, share := range []float64{1, -2, 1} {
			x := float64(i) * step
			s.add(x, intercept+slope*x+share*e)
		}
		l := fit(s.points)
		assert.InDelta(t, slope, l.slope, 1e-6)
		assert.InDelta(t, intercept, l.intercept, 1e-6)
		assert.InDelta(t, e*1.4142135623730951, l.residual, 1e-6)
	})
}

func TestFitDegenerate(t *testing.T) {
	assert.Equal(t, line{}, fit(nil))
	assert.Equal(t, line{intercept: 5}, fit([]point{{x: 3, y: 4}, {x: 3, y: 6}}).withoutResidual())
}

func (l line) withoutResidual() line {
	l.residual = 0
	return l
}
