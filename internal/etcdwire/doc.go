// Package etcdwire defines the messages of the etcd v3 HTTP/JSON gateway that the
// adapter and its stand-in use. Bytes are base64, 64-bit integers are strings.
package etcdwire
