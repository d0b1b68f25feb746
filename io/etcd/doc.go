// Package etcd implements the key-value port over the published etcd v3
// HTTP/JSON gateway.
//
// A call never runs twice: the HTTP client's own repeats are switched off. A
// write whose answer is lost after anything was sent fails with
// ErrUnknownOutcome; one that was refused or could not connect fails with
// ErrUnavailable. A read never has an unknown outcome.
package etcd
