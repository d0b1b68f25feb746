// Package prometheus holds the metrics of a process and serves them in the
// Prometheus text format. Every label has a bounded number of values.
package prometheus
