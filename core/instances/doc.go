// Package instances keeps each process's copy of the platform's list of instances
// fresh without every process reading the platform.
//
// The list has no revision, so copies are ordered by the time at which they were read
// from the platform. Messages do not contain this time but the age of the copy. The
// receiver subtracts the age from the time at which it sent its request. A copy
// therefore never appears younger than it is, clocks need not be synchronized, and an
// old list does not become newer by being forwarded.
package instances
