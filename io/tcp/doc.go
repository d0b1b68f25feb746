// Package tcp provides listeners with a limit on open connections, and
// connections with idle timeouts. Each read or write extends its deadline, so
// that a long stream stays open as long as it makes progress.
package tcp
