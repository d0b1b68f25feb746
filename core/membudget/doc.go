// Package membudget bounds the memory that all requests of a process hold together: bodies that are read whole, events, and what
// slow callers have not read yet.
package membudget
