// Package balance selects targets of a plain service.
//
// It is designed for many short calls of similar cost, so targets are compared by their calls per slot. A process
// counts its own calls immediately and takes those of other processes from the load that targets report in responses.
package balance
