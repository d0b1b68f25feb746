// Package sidecar implements the process that runs beside one target. All requests and orders for the target go through
// it. The decisions are made by the core packages.
package sidecar
