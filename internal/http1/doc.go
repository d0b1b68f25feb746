// Package http1 is the HTTP/1.1 client of the adapters. It sends each request at most once, and its errors distinguish
// requests that were not sent from those that may have been received. A response that breaks the grammar of RFC 9112
// counts as lost, and none of its fields is read.
package http1
