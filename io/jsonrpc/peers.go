package jsonrpc

import (
	"context"
	"fmt"

	"waxwingpick"
	"waxwingpick/io/mtls"
)

// MethodExchange is the name of the gossip method by which processes exchange accepted records.
const MethodExchange = "exchange"

var _ waxwingpick.Peers = (*Peers)(nil)

// Peers implements waxwingpick.Peers over a Client.
type Peers struct {
	client *Client
}

// NewPeers returns Peers that call through the client.
func NewPeers(client *Client) *Peers {
	return &Peers{
		client: client,
	}
}

// Exchange sends a message to the process on an instance and returns its response.
func (p *Peers) Exchange(ctx context.Context, instance waxwingpick.Instance, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	var response waxwingpick.PeerMessage
	if err := p.client.Call(ctx, instance.Control, MethodExchange, msg, &response); err != nil {
		return response, fmt.Errorf("exchange records: %w: %w", waxwingpick.ErrPeerUnreachable, err)
	}
	return response, nil
}

// HandlePeers registers the handler of Exchange calls of entries and sidecars.
func HandlePeers(s *Server, h waxwingpick.PeerHandler) {
	HandleTyped(s, MethodExchange, h.HandleExchange, mtls.RoleEntry, mtls.RoleSidecar)
}
