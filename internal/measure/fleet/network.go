package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"waxwingpick"
)

const (
	// messageDelay is the delay of a message.
	messageDelay = 500 * time.Microsecond
	// framingBytes is the estimated size of the JSON-RPC envelope, TCP and IP headers of one message, in bytes.
	framingBytes = 160
)

// setHandler sets the message handler of a listening node.
type setHandler func(h waxwingpick.PeerHandler)

// transport is a transport between the nodes that counts messages and bytes.
type transport interface {
	// listen opens an address for a node, and returns it with the function that sets its handler.
	listen(id waxwingpick.InstanceID) (string, setHandler, error)
	// peers returns a client with which a node sends messages to the others.
	peers() (waxwingpick.Peers, error)
	// traffic returns the number of messages and of bytes sent.
	traffic() (messages, bytes int64, err error)
	close()
}

// memTransport is an in-memory transport.
type memTransport struct {
	mu       sync.RWMutex
	handlers map[waxwingpick.InstanceID]waxwingpick.PeerHandler
	messages atomic.Int64
	bytes    atomic.Int64
}

var _ waxwingpick.Peers = (*memTransport)(nil)

func (n *memTransport) listen(id waxwingpick.InstanceID) (string, setHandler, error) {
	return string(id), func(h waxwingpick.PeerHandler) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.handlers[id] = h
	}, nil
}

func (n *memTransport) peers() (waxwingpick.Peers, error) {
	return n, nil
}

func (n *memTransport) traffic() (messages, bytes int64, err error) {
	return n.messages.Load(), n.bytes.Load(), nil
}

func (n *memTransport) close() {}

// Exchange implements waxwingpick.Peers.
func (n *memTransport) Exchange(ctx context.Context, peer waxwingpick.Instance, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	n.mu.RLock()
	h, ok := n.handlers[peer.ID]
	n.mu.RUnlock()
	if !ok {
		return waxwingpick.PeerMessage{}, fmt.Errorf("instance %s: %w", peer.ID, waxwingpick.ErrPeerUnreachable)
	}
	received, err := n.deliver(msg)
	if err != nil {
		return waxwingpick.PeerMessage{}, err
	}
	response, err := h.HandleExchange(ctx, received)
	if err != nil {
		return waxwingpick.PeerMessage{}, err
	}
	return n.deliver(response)
}

func (n *memTransport) deliver(msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	data, err := json.Marshal(msg)
	if err != nil {
		return waxwingpick.PeerMessage{}, fmt.Errorf("encode message: %w", err)
	}
	n.messages.Add(1)
	n.bytes.Add(int64(len(data) + framingBytes))
	time.Sleep(messageDelay)
	var received waxwingpick.PeerMessage
	if err := json.Unmarshal(data, &received); err != nil {
		return waxwingpick.PeerMessage{}, fmt.Errorf("decode message: %w", err)
	}
	return received, nil
}
