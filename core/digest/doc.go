// Package digest determines which processes of an availability zone aggregate its load for the other zones, and which
// processes they send the digests to.
//
// There is no agreement: each process assumes that the highest ranked processes that it receives messages from are the
// aggregators of a zone. Processes with different views only cause additional digests, and a failed aggregator is
// replaced after a time-out.
package digest
