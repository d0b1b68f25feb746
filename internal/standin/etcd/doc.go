// Package etcd is a stand-in for the platform's key-value service: the subset of
// the published etcd v3 HTTP/JSON gateway that waxwingpick uses, over the
// in-memory service of memkv, with fault switches that another process can
// reach below /admin.
package etcd
