//go:build race

package rapidtest

// watchedShare is the part of the checks that runs under the race detector: it watches threads, which the state machines
// of the properties have none of, and the run without it makes all checks.
const watchedShare = 10
