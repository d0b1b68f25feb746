// Package orderrunner runs, in a sidecar, the executor that gives the engine
// beside it the orders of its service's plan.
package orderrunner
