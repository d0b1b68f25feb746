// Package loopback provides tests and stand-ins with loopback addresses that no other process on the machine uses.
package loopback
