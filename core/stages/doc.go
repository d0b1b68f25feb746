// Package stages decides how one model request runs on two engines. The prefill
// stage computes the prompt's KV cache on the first engine, the cache is
// transferred, and the decode stage generates the answer on the second. When a
// stage fails, the request falls back to one engine. The answer is never
// generated twice, and KV cache that is no longer needed is freed.
package stages
