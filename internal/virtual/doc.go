// Package virtual holds small fakes of engines, plain services, sidecars, entries
// and load that run in virtual time on core/timer.Manual.
//
// An Engine batches continuously: each step computes a chunk of prompts by urgency
// and one token of every other sequence. A Sidecar puts an admission gate before an
// engine, an Entry sends requests through a balancer, and a Mix draws arrivals. All
// of it is deterministic for a given seed.
package virtual
