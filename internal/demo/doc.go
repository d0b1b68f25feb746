// Package demo runs a complete system in one process on loopback: stand-ins for
// the platform's services and the targets, sidecars, entries, and a short mixed
// load.
package demo
