// Command capacity measures how the processor time, the memory and the bytes of
// an entry and of a sidecar grow, and fits a line to each.
//
// The measured process is the daemon in a process of its own on loopback; its
// stand-ins run in the command's process. Bytes are those that the daemon read
// and wrote as the kernel counts them, processor time is of all its threads, and
// memory is its resident set. All of it includes what the C library, the runtime
// and the metrics take.
//
//	go run ./internal/measure/capacity
//	go run ./internal/measure/capacity -parts stream,path
//	go run ./internal/measure/capacity -tls -parts path,stream,connections
package main
