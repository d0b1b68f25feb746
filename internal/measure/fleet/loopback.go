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
	// maxPeers keeps the connections of some hundred nodes in one process within its file descriptors.
	maxPeers = 32
)

// loopback carries messages over TCP connections of this machine, as the daemons do.
type loopback struct {
	mu       sync.Mutex
	servers  []*jsonrpc.Server
	clients  []*jsonrpc.Client
	messages atomic.Int64
}

// forward hands messages to a node that is created after its server.
type forward struct {
	net     *loopback
	handler atomic.Pointer[waxwingpick.PeerHandler]
}

// HandleExchange counts a message and its answer.
func (f *forward) HandleExchange(ctx context.Context, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	h := f.handler.Load()
	if h == nil {
		return waxwingpick.PeerMessage{}, waxwingpick.ErrPeerUnreachable
	}
	f.net.messages.Add(2)
	return (*h).HandleExchange(ctx, msg)
}

func (n *loopback) listen(waxwingpick.InstanceID) (string, attach, error) {
	f := &forward{
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

func (n *loopback) peers() (waxwingpick.Peers, error) {
	c, err := jsonrpc.NewClient(jsonrpc.MaxPeers(maxPeers))
	if err != nil {
		return nil, fmt.Errorf("create client of a node: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clients = append(n.clients, c)
	return jsonrpc.NewPeers(c), nil
}

// traffic returns the messages, and the bytes that this process read and wrote: all else that it does with files is small.
func (n *loopback) traffic() (messages, bytes int64, err error) {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, 0, fmt.Errorf("read counters: %w", err)
	}
	for lines := bufio.NewScanner(strings.NewReader(string(data))); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		// A line of another form counts as nothing.
		count, _ := strconv.ParseInt(value, 10, 64)
		bytes += count
	}
	// Each byte is written by one node and read by another; one of both is counted, as in memory.
	return n.messages.Load(), bytes / 2, nil
}

func (n *loopback) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		c.Close()
	}
	for _, s := range n.servers {
		s.Close()
	}
}
