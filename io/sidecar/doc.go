// Package sidecar carries requests and answer streams from an entry to the
// sidecar of a target over HTTP: attempts as requests, frames as answers.
package sidecar
