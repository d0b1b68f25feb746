package rapidtest

import (
	"testing"

	"pgregory.net/rapid"
)

// Draw returns a random number from 0 to n-1.
type Draw func(n int) int

// Episode runs a new system under test on drawn numbers and returns the violation that its oracle finds, or nil.
type Episode func(d Draw) error

// Check fails the test if rapid finds an episode with a violation.
func Check(t *testing.T, episode Episode) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		err := episode(func(n int) int {
			return rapid.IntRange(0, n-1).Draw(t, "draw")
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

// violationSeeds is the number of episodes within which the violation of a naive variant has to be found.
const violationSeeds = 3000

// FirstViolation runs episodes of fixed seeds and returns the first violation, or nil.
func FirstViolation(episode Episode) error {
	for seed := range uint64(violationSeeds) {
		if err := episode(Seeded(seed)); err != nil {
			return err
		}
	}
	return nil
}
