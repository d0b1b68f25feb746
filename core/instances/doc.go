// Package instances decides how a process's copy of the platform's list of
// instances stays fresh without every process reading it.
//
// The list has no revision, so copies are ordered by the time of the read that
// they come from. That time never travels as a time of day: a process tells the
// age of its copy, and the receiver takes the age off the time at which it
// asked. Each copy therefore seems at least as old as it is, clocks need not
// agree, and an old list cannot be renewed by passing it on.
package instances
