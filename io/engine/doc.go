// Package engine speaks to one model engine: the OpenAI-compatible API with
// server-sent events, and the order, load and KV cache interface of
// docs/INTERFACES.md.
package engine
