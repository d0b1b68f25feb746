// Package demo runs the whole path on stand-ins in one process on loopback: the
// platform's services, targets, sidecars and entries, and a short mixed load.
package demo
