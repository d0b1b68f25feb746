// Package boottime reads the clock that goes on while the machine is suspended.
package boottime
