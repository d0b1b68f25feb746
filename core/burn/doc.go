// Package burn counts answers in time against the objective of their class and
// tells how fast each class, and who in it, uses up its error budget.
//
// Counts are kept in rings of buckets that are aligned to the clock, so that the
// snapshots of several entries merge by adding.
package burn
