// Package sidecar is the process beside one target: the only way to it for
// requests and orders. It hosts the decisions of the core packages.
package sidecar
