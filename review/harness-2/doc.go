// Command harness-2 holds the clients, replicas and the operator of the scripts of review/6 and later. It starts gateways as
// separate processes, beside the project's stand-in of the platform's store, and writes what was sent, answered and run to
// a record.
package main
