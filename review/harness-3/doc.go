// Harness-3 runs the scripts of the third review: each starts gateways as separate processes beside stand-ins for the store, the
// replicas and the clients, and checks one rule by what these see.
package main
