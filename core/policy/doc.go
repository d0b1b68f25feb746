// Package policy decides on the role and model of each engine of a service.
//
// A Mix smooths the prefill and decode work in reports, which may arrive late, and
// forecasts it. A Decider compares the goodput of the current roles with that after one
// more role change, and proposes the change only if the predicted gain over a horizon
// exceeds the cost of the change plus the preset's price. Violated preset bounds are
// repaired regardless of gain, one drain at a time. Engines that are leaving never count
// as capacity.
package policy
