// Package target is a small stand-in of the users' platform's targets, written from its pages: model engines with stages
// and KV cache for other engines, and plain services, with switches for their faults.
package target
