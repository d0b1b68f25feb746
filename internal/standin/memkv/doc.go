// Package memkv is an in-memory key-value service with fault switches. It is
// deterministic under a manual timer service, so that state machine tests can
// drive any interleaving of processes, lost answers and outages.
//
// A Store is the service; each process under test gets a Client of its own,
// which can be cut off without the others noticing.
package memkv
