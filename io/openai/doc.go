// Package openai is the callers' side of an entry: the OpenAI-compatible API,
// the pass-through to plain services, health checks and metrics.
package openai
