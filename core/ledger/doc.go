// Package ledger keeps orders that may not be repeated to at most one run.
//
// The entry side is a step machine (Machine) with a thin driver (Ledger): it
// claims the caller's idempotency key in the key-value service before anything
// is sent and follows the claim that it finds when the caller sends again. The
// sidecar side is Guard, which admits each attempt at most once and bars an
// attempt that has not run.
package ledger
