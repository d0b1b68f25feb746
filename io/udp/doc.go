// Package udp sends small messages between the processes of the system as UDP datagrams.
package udp
