// Package quota limits the request rate of a workspace over all entries of the fleet.
// Each entry admits requests from a small local token bucket and refills it from the one
// entry that owns the workspace's rate. Both sides are deterministic state machines
// without sockets and clocks. Their callers transport the messages.
package quota
