package rapidtest

import (
	"testing"

	"pgregory.net/rapid"
)

// Draw picks a number from 0 to n-1.
type Draw func(n int) int

// Episode drives a fresh world by drawn numbers and returns what its oracle finds wrong.
type Episode func(d Draw) error

// Check fails the test where rapid finds an episode that goes wrong.
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

// violationSeeds bounds the episodes in which a naive variant has to be caught.
const violationSeeds = 3000

// FirstViolation returns what goes wrong first in the episodes of fixed seeds, nil if nothing does.
func FirstViolation(episode Episode) error {
	for seed := range uint64(violationSeeds) {
		if err := episode(Seeded(seed)); err != nil {
			return err
		}
	}
	return nil
}
