// Command policy measures role policies in virtual time.
//
// It prints the tables of docs/measurements/policy.md and draws the plots of that page:
//
//	go run ./internal/measure/policy
//	go run ./internal/measure/policy -plots docs/plots
package main
