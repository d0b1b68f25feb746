// Package entry is the process that callers talk to: it classifies requests,
// chooses targets, sends attempts to their sidecars and assembles the answers.
// It hosts the decisions of the core packages.
package entry
