//go:build race

package rapidtest

// raceDivisor divides the number of checks under the race detector. The state machines of the properties are
// single-threaded, so it has no race to find in them, and the run without it makes all checks.
const raceDivisor = 10
