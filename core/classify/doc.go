// Package classify gives a request its latency class, deadline, urgency and
// estimated prompt and output tokens.
//
// The estimates are learned per workspace and class in histograms of fixed size;
// the least recently seen workspace is dropped when the bound is reached.
package classify
