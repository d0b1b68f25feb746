// Package plain speaks HTTP to one plain service and sends each request at
// most once.
package plain
