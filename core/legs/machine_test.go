package legs_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/legs"
	"waxwingpick/internal/rapidtest"
)

const (
	// In ampleTime one engine can still answer after the legs failed, in scarceTime it can't.
	ampleTime  = 100 * time.Second
	scarceTime = 30 * time.Second
	maxSteps   = 40
	// The target of a move computes movedTokens again in 20 s at moveRate.
	movedTokens = 20_000
	moveRate    = 1000
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 20_000)
}

var start = time.Unix(1000, 0)

var choice = legs.Choice{
	Single:  legs.Estimate{Target: "d", Prefill: 30 * time.Second, Decode: 10 * time.Second},
	Prefill: legs.Estimate{Target: "p", Prefill: 5 * time.Second},
	Decode:  legs.Estimate{Target: "d", Decode: 10 * time.Second},
}

// builder makes what the oracle watches.
type builder func(c legs.Choice, by time.Time) stepper

// run drives one request, or one stream that moves, through drawn events; it returns what the oracle found.
func run(build builder, draw rapidtest.Draw) error {
	c := choice
	if draw(2) == 0 {
		c = legs.Move("p", "d", movedTokens, moveRate)
	}
	by := start.Add([]time.Duration{ampleTime, ampleTime, scarceTime}[draw(3)])
	m := build(c, by)
	w := &world{
		now:    start,
		by:     by,
		within: c.Within,
		direct: draw(2) == 0,
		m:      m,
		held: map[waxwingpick.TargetID]map[string]bool{
			"p": {},
			"d": {},
		},
	}
	err := w.do(m.Start(w.now))
	for range draw(maxSteps) {
		if err != nil {
			return err
		}
		err = w.event(draw)
	}
	if err != nil {
		return err
	}
	return w.settle(draw)
}

func newMachine(c legs.Choice, by time.Time) *legs.Machine {
	return legs.New(c, "attempt", by)
}

// episode runs one request on the machine that build makes.
func episode(build builder) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		return run(build, draw)
	}
}

func TestOracleHolds(t *testing.T) {
	rapidtest.Check(t, episode(func(c legs.Choice, by time.Time) stepper {
		return newMachine(c, by)
	}))
}

func TestOracleCatchesTheNaiveWays(t *testing.T) {
	naive := map[error]builder{
		errGeneratedTwice: func(c legs.Choice, by time.Time) stepper { return retrying{Machine: newMachine(c, by)} },
		errFreedEarly:     func(c legs.Choice, by time.Time) stepper { return eager{Machine: newMachine(c, by)} },
		errMemoryHeld:     func(c legs.Choice, by time.Time) stepper { return &forgetful{Machine: newMachine(c, by)} },
		errLegsTooLong: func(c legs.Choice, by time.Time) stepper {
			c.Within = 0
			return newMachine(c, by)
		},
	}
	for want, build := range naive {
		t.Run(want.Error(), func(t *testing.T) {
			// The violation looked for may come after another kind.
			first := rapidtest.FirstViolation(func(draw rapidtest.Draw) error {
				err := run(build, draw)
				if errors.Is(err, want) {
					return err
				}
				return nil
			})
			require.ErrorIs(t, first, want)
		})
	}
}

func TestTwoLegsOnlyWhereTheyAreSooner(t *testing.T) {
	tests := map[string]struct {
		change func(c *legs.Choice)
		want   bool
	}{
		"sooner":             {change: func(*legs.Choice) {}, want: true},
		"transfer too slow":  {change: func(c *legs.Choice) { c.Transfer = 25 * time.Second }},
		"within the margin":  {change: func(c *legs.Choice) { c.Margin = 25 * time.Second }},
		"decode engine busy": {change: func(c *legs.Choice) { c.Decode.Wait = 25 * time.Second }},
		"no prefill engine":  {change: func(c *legs.Choice) { c.Prefill.Target = "" }},
		"one engine twice":   {change: func(c *legs.Choice) { c.Prefill.Target = "d" }},
		"one engine is free": {change: func(c *legs.Choice) { c.Single.Prefill = 0 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := choice
			test.change(&c)
			require.Equal(t, test.want, c.TwoLegs())
			first := legs.New(c, "a", start.Add(ampleTime)).Start(start)[0]
			_, one := first.(legs.Generate)
			require.Equal(t, test.want, !one)
		})
	}
}

func TestMoveOnlyWhereItIsCheaperThanComputingAgain(t *testing.T) {
	tests := map[string]struct {
		tokens int
		rate   float64
		want   bool
	}{
		"long":              {tokens: 20_000, rate: 10_000, want: true},
		"short":             {tokens: 100, rate: 10_000},
		"fast engine":       {tokens: 20_000, rate: 1_000_000},
		"unknown rate":      {tokens: 20_000},
		"nothing generated": {rate: 10_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := legs.Move("p", "d", test.tokens, test.rate)
			require.Equal(t, test.want, c.TwoLegs())
			if test.want {
				require.Less(t, legs.TransferTime(test.tokens), c.Within)
			}
		})
	}
}
