// Command capacity measures the processor time, the memory and the bytes of an
// entry and of a sidecar as functions of several sizes, and fits a line to each.
//
// The measured daemon runs in a separate process on loopback, and its stand-ins
// run in the process of the command. Bytes are those that the daemon read and
// wrote, as counted by the kernel. Processor time is that of all its threads, and
// memory is its resident set. All of them include the C library, the runtime and
// the metrics.
//
//	go run ./internal/measure/capacity
//	go run ./internal/measure/capacity -parts stream,path
//	go run ./internal/measure/capacity -tls -parts path,stream,connections
package main
