// Package etcd implements waxwingpick.KeyValue over the HTTP/JSON gateway of
// etcd v3.
//
// Each call is sent at most once.
// A write whose response is lost after any byte was sent fails with
// ErrUnknownOutcome. A write that was rejected or could not connect fails with
// ErrUnavailable. A read never fails with ErrUnknownOutcome.
package etcd
