// Command orders measures the memory of the stores of entries and sidecars for
// orders, responses, crash suspects and burn rates, at several sizes:
//
//	go run ./internal/measure/orders
package main
