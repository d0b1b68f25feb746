// Command harness runs the scripted cases of the review. It starts gateways as separate processes with the command of
// the deploy file, beside stand-ins for the store, the targets, the load balancer and the callers, all on loopback
// addresses. It exits with 0 if the rule of the case held, 1 if it was broken, and 2 if the case could not run.
package main
