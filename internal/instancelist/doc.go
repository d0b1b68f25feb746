// Package instancelist keeps a process's copy of the platform's instance list. It reads the platform according to the
// schedule of core/instances, and provides the list to the exchanges of records between processes.
package instancelist
