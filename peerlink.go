package waxwingpick

// PeerLink is the port for small messages between the system's processes, which may be lost, doubled or late.
type PeerLink interface {
	// Send sends a message to an IP address and port without waiting.
	Send(addr string, message []byte) error
	// Receive calls take with each message until the link is closed.
	Receive(take func(message []byte))
	// Close ends the link.
	Close() error
}
