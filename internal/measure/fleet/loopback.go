package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"waxwingpick"
	"waxwingpick/io/jsonrpc"
)

const (
	anyPort = "127.0.0.1:0"
	// maxPeers limits the connections of a node, so that some hundred nodes stay within one process's limit of file
	// descriptors.
	maxPeers = 32
)

// tcpTransport is a transport over TCP on loopback, as the daemons use.
type tcpTransport struct {
	mu       sync.Mutex
	servers  []*jsonrpc.Server
	clients  []*jsonrpc.Client
	messages atomic.Int64
}

// deferredHandler delegates to a handler that is set after the server of the node has started.
type deferredHandler struct {
	net     *tcpTransport
	handler atomic.Pointer[waxwingpick.PeerHandler]
}

// HandleExchange counts a message and its response.
func (f *deferredHandler) HandleExchange(ctx context.Context, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	h := f.handler.Load()
	if h == nil {
		return waxwingpick.PeerMessage{}, waxwingpick.ErrPeerUnreachable
	}
	f.net.messages.Add(2)
	return (*h).HandleExchange(ctx, msg)
}

func (n *tcpTransport) listen(waxwingpick.InstanceID) (string, setHandler, error) {
	f := &deferredHandler{
		net: n,
	}
	s := jsonrpc.NewServer("")
	jsonrpc.HandlePeers(s, f)
	addr, err := s.Start(anyPort)
	if err != nil {
		return "", nil, fmt.Errorf("start server of a node: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers = append(n.servers, s)
	return addr, func(h waxwingpick.PeerHandler) {
		f.handler.Store(&h)
	}, nil
}

func (n *tcpTransport) peers() (waxwingpick.Peers, error) {
	c, err := jsonrpc.NewClient(jsonrpc.MaxPeers(maxPeers))
	if err != nil {
		return nil, fmt.Errorf("create client of a node: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clients = append(n.clients, c)
	return jsonrpc.NewPeers(c), nil
}

// traffic returns the number of messages and the bytes that this process read and wrote. Input and output other than
// messages is included, and negligible.
func (n *tcpTransport) traffic() (messages, bytes int64, err error) {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, 0, fmt.Errorf("read counters: %w", err)
	}
	for lines := bufio.NewScanner(strings.NewReader(string(data))); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		// A malformed line counts as 0.
		count, _ := strconv.ParseInt(value, 10, 64)
		bytes += count
	}
	// Each byte is written by one node and read by another, and is counted once, as by the in-memory transport.
	return n.messages.Load(), bytes / 2, nil
}

func (n *tcpTransport) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		c.Close()
	}
	for _, s := range n.servers {
		s.Close()
	}
}
