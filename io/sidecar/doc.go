// Package sidecar is the HTTP client and server for requests from entries to the sidecar of a target. A request carries
// an attempt, and a streamed response consists of frames. The package also defines the messages of control calls to
// sidecars and between entries.
package sidecar
