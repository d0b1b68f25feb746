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

// fullChecks is the number of checks per property without the race detector. Fails always runs as many.
var fullChecks int

// Main runs the tests with the given number of checks per property and exits.
func Main(m *testing.M, checks int) {
	seed := fixedSeed
	if os.Getenv("WAXWINGPICK_LONG") != "" {
		seed = 0
		checks = longChecks
	}
	fullChecks = checks
	setInt("rapid.seed", seed)
	setInt("rapid.checks", max(1, checks/raceDivisor))
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// MainSteps runs the tests as Main does and sets the mean number of actions in each run of a state machine.
func MainSteps(m *testing.M, checks, steps int) {
	setInt("rapid.steps", steps)
	Main(m, checks)
}

func setInt(name string, value int) {
	setFlag(name, strconv.Itoa(value))
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// ScaledCount scales a minimum that the full number of checks has to reach to the number of checks of this run, which
// the race detector reduces.
func ScaledCount(count int) int {
	return count / raceDivisor
}
