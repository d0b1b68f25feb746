// Package fleetclock estimates true time from the wall clocks of many machines, so that a clock that jumps on a minority
// of them does not move it.
package fleetclock
