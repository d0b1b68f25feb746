// Package burn counts responses that are in time or not, and computes the burn rate of the
// error budget of each class and the largest contributors to it.
//
// Counts are kept in ring buffers of buckets that are aligned to the clock, so that
// snapshots of several entries can be merged by addition.
package burn
