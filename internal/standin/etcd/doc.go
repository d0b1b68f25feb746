// Package etcd is a stand-in for the platform's key-value service. It serves the
// subset of the etcd v3 HTTP/JSON gateway that waxwingpick uses, backed by the
// in-memory service of memkv. Other processes can set its fault switches by
// requests below /admin.
package etcd
