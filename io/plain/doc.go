// Package plain is an HTTP client of one plain service that sends each request
// at most once.
package plain
