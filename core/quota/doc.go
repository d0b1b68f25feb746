// Package quota holds the rate of a workspace over all entries of the fleet. Each
// entry admits from a small bucket of its own, without asking anybody, and tops it
// up from the one entry that owns the workspace's rate. Both sides are deterministic
// state machines without sockets and clocks; their host carries the messages.
package quota
