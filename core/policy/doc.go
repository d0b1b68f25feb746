// Package policy decides which role and model each engine of a service is to have.
//
// A Mix smooths the prefill and decode work that reports show, late as they come, and
// forecasts it. A Decider compares the goodput of the present roles with that of one
// more role change, and proposes the change only where the predicted gain over a
// horizon exceeds what the change costs and the preset's price. Preset bounds are
// repaired in any case, one drain after the other. Engines that leave are never
// counted as capacity.
package policy
