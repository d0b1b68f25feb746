package jsonrpc

import (
	"context"
	"fmt"

	"waxwingpick"
	"waxwingpick/io/mtls"
)

// MethodExchange is the method by which processes spread accepted records.
const MethodExchange = "exchange"

var _ waxwingpick.Peers = (*Peers)(nil)

// Peers is the port to the other processes over a client.
type Peers struct {
	client *Client
}

// NewPeers returns the port over the client.
func NewPeers(client *Client) *Peers {
	return &Peers{
		client: client,
	}
}

// Exchange sends a message to the process on an instance and returns its answer.
func (p *Peers) Exchange(ctx context.Context, instance waxwingpick.Instance, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	var answer waxwingpick.PeerMessage
	if err := p.client.Call(ctx, instance.Control, MethodExchange, msg, &answer); err != nil {
		return answer, fmt.Errorf("exchange records: %w: %w", waxwingpick.ErrPeerUnreachable, err)
	}
	return answer, nil
}

// HandlePeers registers the handler of other processes' messages.
func HandlePeers(s *Server, h waxwingpick.PeerHandler) {
	HandleTyped(s, MethodExchange, h.HandleExchange, mtls.RoleEntry, mtls.RoleSidecar)
}
