// Package prometheus holds a process's metrics and serves them to a Prometheus
// server. Every label has a bounded number of values.
package prometheus
