// Package gateway implements the serving decisions of an entry that sends requests directly to targets. The protocols
// of the callers and of the targets are behind ports.
package gateway
