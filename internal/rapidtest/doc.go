// Package rapidtest runs the tests of a package with a fixed rapid seed, or with a
// random seed and more checks if WAXWINGPICK_LONG is set.
package rapidtest
