// Command requests measures routing and admission in virtual time against baselines.
//
// It prints the tables of docs/measurements/requests.md:
//
//	go run ./internal/measure/requests
package main
