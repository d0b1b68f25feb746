// Package placement chooses the engines that serve a model request, where an engine either reads prompts (role prefill)
// or generates and, more slowly, reads prompts as well (role decode).
//
// The load pattern is a mix of long prompts with long shared beginnings and of short ones, whose shares flip within
// seconds. The first token of a request waits for all prompt work ahead of it at its engine, so that work, not the number
// of requests, is what engines are compared by. A prompt whose beginning an engine keeps costs only its rest there.
package placement
