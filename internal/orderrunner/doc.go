// Package orderrunner runs the executor that submits the orders of a service's plan to the engine of a sidecar.
package orderrunner
