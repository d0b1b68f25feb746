// Package jsonrpc implements control calls between the processes of the system
// as JSON-RPC 2.0 over TCP, with limits on frame sizes, concurrent calls and
// connections.
package jsonrpc
