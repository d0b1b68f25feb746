// Package balance chooses among the targets of a plain service.
//
// The load pattern is many short calls of even size: what counts is the number of calls per slot, of which each process
// knows its own at once and those of others from the load that targets tell with their answers.
package balance
