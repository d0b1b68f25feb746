// Package loopback gives tests and stand-ins loopback addresses that no other process of the machine takes.
package loopback
