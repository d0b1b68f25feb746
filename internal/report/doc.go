// Package report renders the error budget burn report as a table, as JSON, or as
// a self-contained HTML page with plots.
package report
