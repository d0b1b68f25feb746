// Command orders measures the memory of what entries and sidecars remember of
// orders, answers, crash suspects and burn, at several sizes:
//
//	go run ./internal/measure/orders
package main
