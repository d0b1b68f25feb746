// Package gateway hosts the serving decisions of an entry that sends requests straight to targets. It knows neither the
// protocol of its callers nor that of the targets: both are ports.
package gateway
