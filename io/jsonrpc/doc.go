// Package jsonrpc carries control calls between the system's processes as
// JSON-RPC 2.0 over TCP, with bounds on frames, calls and connections.
package jsonrpc
