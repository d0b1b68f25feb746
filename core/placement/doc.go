// Package placement selects the engines that serve a model request. Engines with the role prefill only compute prompts.
// Engines with the role decode generate and can also compute prompts, but more slowly.
//
// It is designed for a mix of short prompts and long prompts with long shared prefixes, in which the proportions change
// within seconds. The first token of a request waits for all prompt computation ahead of it on its engine, so engines
// are compared by that work and not by their number of requests. An engine that caches a prefix only computes the rest.
package placement
