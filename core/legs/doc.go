// Package legs decides how one model request runs on two engines: the prompt's
// KV cache is computed on the first, moved, and the answer generated on the
// second. When a leg fails, the request falls back to one engine. The answer
// is never generated twice, and KV cache that is no longer wanted is freed.
package legs
