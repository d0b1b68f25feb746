// Package engine is a stand-in for a model engine. It has the OpenAI-compatible
// API with resumable streams, the order interface, load reports, cache events
// and KV cache transfer. A response is a pure function of the prompt, so that
// tests detect mixed, truncated and misdirected responses. Methods and HTTP
// requests set its fault switches, and it records what it ran.
package engine
