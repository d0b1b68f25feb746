// Package outage detects the loss and the recovery of a dependency from the results of calls to it.
package outage
