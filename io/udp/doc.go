// Package udp sends small messages between the system's processes as datagrams.
package udp
