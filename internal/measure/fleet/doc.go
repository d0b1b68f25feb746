// Command fleet measures how accepted records spread through a fleet of
// processes, and what the control loop costs: time, bytes, calls of the
// key-value service, processor time and memory.
//
// All processes run in one, on the system's clock and on an in-memory
// key-value service and list of instances. Messages between them are encoded as
// JSON and counted, and take half a millisecond one way without sockets; with
// -loopback they go over TCP as those of the daemons do.
//
//	go run ./internal/measure/fleet -nodes 10,50,200
//	go run ./internal/measure/fleet -loopback -nodes 10,50,200
package main
