// Package rapidtest runs a package's tests with a fixed seed for rapid, or with a
// new seed and more checks where WAXWINGPICK_LONG is set.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const (
	fixedSeed  = 1
	longChecks = 20_000
)

// allChecks is the number of checks per property where no detector slows them down; naive variants get as many.
var allChecks int

// Main runs the tests with the given number of checks per property and exits.
func Main(m *testing.M, checks int) {
	seed := fixedSeed
	if os.Getenv("WAXWINGPICK_LONG") != "" {
		seed = 0
		checks = longChecks
	}
	allChecks = checks
	set("rapid.seed", seed)
	set("rapid.checks", max(1, checks/watchedShare))
	setText("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// MainSteps runs the tests as Main does, with a mean number of actions in each run of a state machine.
func MainSteps(m *testing.M, checks, steps int) {
	set("rapid.steps", steps)
	Main(m, checks)
}

func set(name string, value int) {
	setText(name, strconv.Itoa(value))
}

func setText(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Share returns the part of a count over all checks that the present run has to reach: all of it, unless the race
// detector watches.
func Share(count int) int {
	return count / watchedShare
}
