// Package executor sends an engine the orders of its service's plan, one at a
// time. It acts only on a plan that it has read itself, drains the engine before
// an order, and waits until the engine has settled one order before the next.
//
// Engines that ignore fencing numbers are also protected by a lease on the key
// of the target. Its holder sends an order only while the remaining lease exceeds
// the order's timeout by a margin. A successor that can't see that its predecessor
// released the lease waits as long as that lease could have lasted. One race
// remains for such engines, which no client can prevent: a process that is paused
// between its last clock reading and the moment when the operating system sends
// the order may send it after its lease has expired. An engine that loses its
// fencing number when it crashes counts as one that ignores it.
package executor
