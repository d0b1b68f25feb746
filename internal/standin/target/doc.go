// Package target is a stand-in for a target of the users' platform, written from the platform's documentation: a model
// engine with prefill and decode stages and KV cache transfer, or a plain service. Its faults can be switched on and off.
package target
