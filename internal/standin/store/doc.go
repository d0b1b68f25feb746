// Package store is a small stand-in of the users' platform's key-value service, written from its pages: items, ranges in
// pages, watches with a history that can be forgotten, transactions and leases, with the faults of memkv.
package store
