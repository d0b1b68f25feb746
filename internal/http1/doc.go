// Package http1 is the HTTP/1.1 client of the adapters. It sends each request at most once, and its errors distinguish
// requests that were not sent from those that may have been received.
package http1
