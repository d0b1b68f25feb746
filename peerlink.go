package waxwingpick

// PeerLink sends and receives datagrams between the system's processes. They may be lost, duplicated or delayed.
type PeerLink interface {
	// Send sends a message to an IP address and port without blocking.
	Send(addr string, message []byte) error
	// Receive calls take with each message until the link is closed.
	Receive(take func(message []byte))
	// Close closes the link.
	Close() error
}
