// Command moves measures the cost of moving a stream off a leaving target, and the time to
// the first token of a request on two engines. The KV cache is transferred between the
// engines, transferred through the sidecars, or computed again. All processes are stand-ins
// in one process.
//
//	go run ./internal/measure/moves -shortest 16000
//	go run ./internal/measure/moves -firstTokens -shortest 16000
package main
