// Package openai is the HTTP server of an entry for callers. It serves the OpenAI-compatible API, forwards requests to
// plain services, and responds to health checks and metrics requests.
package openai
