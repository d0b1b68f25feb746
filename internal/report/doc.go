// Package report renders the service-level burn report: a table, JSON, and a
// self-contained HTML page with plots.
package report
