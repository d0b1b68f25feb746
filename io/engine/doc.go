// Package engine is a client of one model engine. It uses the OpenAI-compatible API with server-sent events, and the
// interface for orders, load reports and KV cache that docs/INTERFACES.md specifies.
package engine
