// Package speed estimates how long work takes on a target at the moment, relative to a target that takes as long as usual.
package speed
