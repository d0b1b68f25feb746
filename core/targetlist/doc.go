// Package targetlist maintains the targets of the platform's list across changes, gaps and outages of the service that
// stores the list.
//
// While that service is unavailable, entries of live targets may expire; they reappear soon after it returns. A removal
// observed in this period is therefore delayed by a grace period. Any other removal takes effect immediately.
//
// Entries are ordered by the start of the target's incarnation and by the number of the write, not by their arrival.
package targetlist
