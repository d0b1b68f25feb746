// Package engine is a stand-in for a model engine: the OpenAI-compatible API
// with resumable streams, the order interface, load reports, cache events and
// KV cache transfer. Its answers are a pure function of the prompt, so a
// mixed, cut or foreign answer shows. Its faults are switched by methods or
// over HTTP, and it records what ran.
package engine
