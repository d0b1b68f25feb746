// Package ledger runs a non-repeatable request, called an order, at most once.
//
// The entry side is a state machine (Machine) with a thin driver (Ledger). It
// claims the caller's idempotency key in the key-value service before anything
// is sent. When the caller sends the order again, it follows the claim that it
// finds. The sidecar side is Guard, which admits each attempt at most once and
// fences an attempt that has not run.
package ledger
