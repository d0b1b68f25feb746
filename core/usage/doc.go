// Package usage counts the requests that targets began to execute, by time window and workspace, and decides what the
// holder of the duty reports about them.
//
// Each process sends the cumulative counts of its last windows, an aggregator of each zone sums these over processes,
// and the holder sums over zones. Counts only grow and receivers keep the elementwise maximum, so messages may be lost,
// repeated, reordered or split. A piece of a split message states the total of its whole window. A receiver treats the
// window as complete only while the sum of its maxima reaches the highest total stated: every maximum is at most the
// sender's latest count, so equal sums mean that all counts are equal.
//
// All times are fleet time, as by package fleetclock. Before a report is sent for the first time, its body is settled
// with a conditional write to the store, so that successive holders send the same bytes.
package usage
