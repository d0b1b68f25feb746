// Package executor gives an engine the orders of its service's plan, one at a
// time: it acts only on a plan that it read back itself, drains the engine
// before an order, and settles the earlier order with the engine before the next.
//
// Engines that ignore fencing numbers are guarded by a lease on the key of the
// target besides. Its holder sends an order only while the lease outlasts the
// order's timeout by a margin, and a successor that can't see that its
// predecessor gave the lease up waits as long as that lease could have lasted.
// One window remains for such engines, which no client can close: a process
// that is paused between its last look at the clock and the moment when the
// operating system sends the order may send it after its lease ended. An engine
// that forgets its fencing number when it crashes counts as one that ignores it.
package executor
