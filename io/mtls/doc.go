// Package mtls authenticates the processes of the system to each other by mutual
// TLS 1.3, and the entry to its callers.
//
// A certificate names the fleet and role of its holder in a URI subject
// alternative name. Host names are not verified, since addresses are reassigned
// to other instances. A nil *Credentials means plain TCP: its methods pass every
// connection through.
package mtls
