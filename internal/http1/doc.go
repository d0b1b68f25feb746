// Package http1 is the HTTP client that the adapters share: it sends each
// request at most once and tells whether a failed one can have been received.
package http1
