// Package instancelist keeps a process's copy of the platform's list: it hosts
// core/instances, reads the platform when it is the process's turn, and lends
// the copy to the exchanges that spread accepted records.
package instancelist
