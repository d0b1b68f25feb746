package stages_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/stages"
	"waxwingpick/internal/rapidtest"
)

const (
	// Within longDeadline one engine can still answer after the stages failed, within shortDeadline it can't.
	longDeadline  = 100 * time.Second
	shortDeadline = 30 * time.Second
	maxSteps      = 40
	// The target of a move recomputes movedTokens in 20 s at moveRate.
	movedTokens = 20_000
	moveRate    = 1000
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 20_000)
}

var start = time.Unix(1000, 0)

var choice = stages.Choice{
	Single:  stages.Estimate{Target: "d", Prefill: 30 * time.Second, Decode: 10 * time.Second},
	Prefill: stages.Estimate{Target: "p", Prefill: 5 * time.Second},
	Decode:  stages.Estimate{Target: "d", Decode: 10 * time.Second},
}

// builder returns the machine that the oracle checks.
type builder func(c stages.Choice, deadline time.Time) stepper

// run steps one request, or one moving stream, through drawn events and returns the violation that the oracle found.
func run(build builder, draw rapidtest.Draw) error {
	c := choice
	if draw(2) == 0 {
		c = stages.Move("p", "d", movedTokens, moveRate)
	}
	deadline := start.Add([]time.Duration{longDeadline, longDeadline, shortDeadline}[draw(3)])
	m := build(c, deadline)
	sim := &simulation{
		now:          start,
		deadline:     deadline,
		stageTimeout: c.StageTimeout,
		byReference:  draw(2) == 0,
		m:            m,
		held: map[waxwingpick.TargetID]map[string]bool{
			"p": {},
			"d": {},
		},
	}
	err := sim.do(m.Start(sim.now))
	for range draw(maxSteps) {
		if err != nil {
			return err
		}
		err = sim.event(draw)
	}
	if err != nil {
		return err
	}
	return sim.settle(draw)
}

func newMachine(c stages.Choice, deadline time.Time) *stages.Machine {
	return stages.New(c, "attempt", deadline)
}

// episode runs one request on the machine that build returns.
func episode(build builder) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		return run(build, draw)
	}
}

func TestOracleHolds(t *testing.T) {
	rapidtest.Check(t, episode(func(c stages.Choice, deadline time.Time) stepper {
		return newMachine(c, deadline)
	}))
}

func TestOracleDetectsNaiveVariants(t *testing.T) {
	naive := map[error]builder{
		errGeneratedTwice: func(c stages.Choice, deadline time.Time) stepper {
			return retriesLostStart{Machine: newMachine(c, deadline)}
		},
		errFreedEarly: func(c stages.Choice, deadline time.Time) stepper { return freesEarly{Machine: newMachine(c, deadline)} },
		errMemoryHeld: func(c stages.Choice, deadline time.Time) stepper {
			return &ignoresLateResponses{Machine: newMachine(c, deadline)}
		},
		errStagesTooLong: func(c stages.Choice, deadline time.Time) stepper {
			c.StageTimeout = 0
			return newMachine(c, deadline)
		},
	}
	for want, build := range naive {
		t.Run(want.Error(), func(t *testing.T) {
			// The wanted violation may come after one of another kind.
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

func TestTwoStagesOnlyIfFaster(t *testing.T) {
	tests := map[string]struct {
		change func(c *stages.Choice)
		want   bool
	}{
		"sooner":             {change: func(*stages.Choice) {}, want: true},
		"transfer too slow":  {change: func(c *stages.Choice) { c.Transfer = 25 * time.Second }},
		"within the margin":  {change: func(c *stages.Choice) { c.Margin = 25 * time.Second }},
		"decode engine busy": {change: func(c *stages.Choice) { c.Decode.Wait = 25 * time.Second }},
		"no prefill engine":  {change: func(c *stages.Choice) { c.Prefill.Target = "" }},
		"same engine twice":  {change: func(c *stages.Choice) { c.Prefill.Target = "d" }},
		"one engine is free": {change: func(c *stages.Choice) { c.Single.Prefill = 0 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := choice
			test.change(&c)
			require.Equal(t, test.want, c.TwoStages())
			first := stages.New(c, "a", start.Add(longDeadline)).Start(start)[0]
			_, single := first.(stages.Generate)
			require.Equal(t, test.want, !single)
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
			c := stages.Move("p", "d", test.tokens, test.rate)
			require.Equal(t, test.want, c.TwoStages())
			if test.want {
				require.Less(t, stages.TransferTime(test.tokens), c.StageTimeout)
			}
		})
	}
}
