// Package virtual simulates engines, sidecars, entries and load in virtual time on
// core/timer.Manual.
//
// An Engine uses continuous batching: each step computes a chunk of the most urgent
// prompts and one token of every decoding sequence. A Sidecar puts an admission gate
// in front of an engine, an Entry sends requests to targets chosen by a balancer, and
// a Mix describes the arrivals. A simulation is deterministic for a given seed.
package virtual
