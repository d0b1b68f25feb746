// Command moves measures what the move of a stream off a leaving target costs, and when the
// first token of a request on two engines comes: with KV cache from engine to engine, with
// cache through the sidecars, and by computing it again, over stand-ins in one process.
//
//	go run ./internal/measure/moves -shortest 16000
//	go run ./internal/measure/moves -firstTokens -shortest 16000
package main
