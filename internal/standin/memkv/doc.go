// Package memkv is an in-memory key-value service with fault switches. It is
// deterministic under a manual timer service, so that state machine tests can
// drive any interleaving of processes, lost responses and outages.
//
// A Store is the service. Each process under test has its own Client, which can
// be partitioned from the service independently of the others.
package memkv
