// Package waxwingpick holds the ports and the small shared value types of a
// serving system for a fixed fleet of model engines and plain services.
//
// The packages under core contain the decision logic and use neither sockets nor
// clocks. Each package under io implements a port for one peer or protocol.
package waxwingpick
