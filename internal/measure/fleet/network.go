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
	// oneWay is the time that a message takes.
	oneWay = 500 * time.Microsecond
	// framing is an allowance for the JSON-RPC envelope, TCP and IP headers of one message, in bytes.
	framing = 160
)

// attach gives a listening node the handler of its messages.
type attach func(h waxwingpick.PeerHandler)

// carrier carries messages between the nodes and counts them.
type carrier interface {
	// listen returns a node's address.
	listen(id waxwingpick.InstanceID) (string, attach, error)
	// peers returns a node's port to the others.
	peers() (waxwingpick.Peers, error)
	// traffic returns the messages and the bytes that were sent.
	traffic() (messages, bytes int64, err error)
	close()
}

// network carries messages in memory.
type network struct {
	mu       sync.RWMutex
	handlers map[waxwingpick.InstanceID]waxwingpick.PeerHandler
	messages atomic.Int64
	bytes    atomic.Int64
}

var _ waxwingpick.Peers = (*network)(nil)

func (n *network) listen(id waxwingpick.InstanceID) (string, attach, error) {
	return string(id), func(h waxwingpick.PeerHandler) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.handlers[id] = h
	}, nil
}

func (n *network) peers() (waxwingpick.Peers, error) {
	return n, nil
}

func (n *network) traffic() (messages, bytes int64, err error) {
	return n.messages.Load(), n.bytes.Load(), nil
}

func (n *network) close() {}

// Exchange carries a message and its answer.
func (n *network) Exchange(ctx context.Context, peer waxwingpick.Instance, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	n.mu.RLock()
	h, ok := n.handlers[peer.ID]
	n.mu.RUnlock()
	if !ok {
		return waxwingpick.PeerMessage{}, fmt.Errorf("instance %s: %w", peer.ID, waxwingpick.ErrPeerUnreachable)
	}
	received, err := n.carry(msg)
	if err != nil {
		return waxwingpick.PeerMessage{}, err
	}
	answer, err := h.HandleExchange(ctx, received)
	if err != nil {
		return waxwingpick.PeerMessage{}, err
	}
	return n.carry(answer)
}

func (n *network) carry(msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	data, err := json.Marshal(msg)
	if err != nil {
		return waxwingpick.PeerMessage{}, fmt.Errorf("encode message: %w", err)
	}
	n.messages.Add(1)
	n.bytes.Add(int64(len(data) + framing))
	time.Sleep(oneWay)
	var received waxwingpick.PeerMessage
	if err := json.Unmarshal(data, &received); err != nil {
		return waxwingpick.PeerMessage{}, fmt.Errorf("decode message: %w", err)
	}
	return received, nil
}
