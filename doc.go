// Package waxwingpick holds the ports and the small shared value types of a
// serving system for a fixed fleet of model engines and plain services.
//
// The packages below core decide, without sockets or clocks of their own. The
// packages below io each speak to one peer or protocol and implement a port.
package waxwingpick
