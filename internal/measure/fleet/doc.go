// Command fleet measures how fast accepted records propagate through a fleet of
// processes, and the cost of the control loop: bytes, calls of the key-value
// service, processor time and memory.
//
// All nodes run in one process, on the system's clock, with an in-memory
// key-value service and list of instances. Messages between nodes are encoded as
// JSON and counted. They are delivered in memory with a delay of half a
// millisecond; with -loopback they are sent over TCP, as by the daemons.
//
//	go run ./internal/measure/fleet -nodes 10,50,200
//	go run ./internal/measure/fleet -loopback -nodes 10,50,200
package main
