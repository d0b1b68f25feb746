// Package stagerunner runs requests that are split into a prefill and a decode stage on two engines. It makes the engine
// calls that the state machine of package stages requests, and passes their results to the machine.
package stagerunner
