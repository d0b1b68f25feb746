// Package store is a stand-in for the key-value service of the users' platform, written from the platform's
// documentation: items, paged ranges, watches on a history that can be compacted, transactions and leases, with the
// faults of memkv.
package store
