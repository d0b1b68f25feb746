package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"waxwingpick/internal/loopback"

	"github.com/sourcegraph/conc"
)

// meter is a TCP proxy that counts bytes in both directions.
type meter struct {
	ln    net.Listener
	to    string
	bytes atomic.Int64
	wg    conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// startMeter starts a proxy for the server at an address.
func startMeter(to string) (*meter, error) {
	ln, err := net.Listen("tcp", loopback.AnyPort())
	if err != nil {
		return nil, fmt.Errorf("start meter: %w", err)
	}
	m := &meter{
		ln: ln,
		to: to,
	}
	m.wg.Go(m.accept)
	return m, nil
}

func (m *meter) addr() string {
	return m.ln.Addr().String()
}

// close closes the listener and all connections.
func (m *meter) close() {
	m.ln.Close()
	m.mu.Lock()
	for _, c := range m.conns {
		c.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

func (m *meter) accept() {
	for {
		from, err := m.ln.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", m.to)
		if err != nil {
			from.Close()
			continue
		}
		m.mu.Lock()
		m.conns = append(m.conns, from, to)
		m.mu.Unlock()
		m.wg.Go(func() { forward(to, m.counted(from)) })
		m.wg.Go(func() { forward(from, m.counted(to)) })
	}
}

func (m *meter) counted(c net.Conn) net.Conn {
	return countedConn{
		Conn:  c,
		bytes: &m.bytes,
	}
}

// countedConn counts the bytes that are read from it.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// controlTraffic is the control traffic of a daemon by kind: totals since the start, or rates per second.
type controlTraffic struct {
	// kv and list are bytes to and from the key-value service and the platform.
	kv   float64
	list float64
	// probes and exchanges are the calls to other processes.
	probes    float64
	exchanges float64
}

func (b *bench) controlTraffic() controlTraffic {
	return controlTraffic{
		kv:        float64(b.kvMeter.bytes.Load()),
		list:      float64(b.listMeter.bytes.Load()),
		probes:    float64(b.control.probes.Load()),
		exchanges: float64(b.control.exchanges.Load()),
	}
}

// since returns the rates since an earlier reading.
func (k controlTraffic) since(before controlTraffic, took time.Duration) controlTraffic {
	return controlTraffic{
		kv:        (k.kv - before.kv) / took.Seconds(),
		list:      (k.list - before.list) / took.Seconds(),
		probes:    (k.probes - before.probes) / took.Seconds(),
		exchanges: (k.exchanges - before.exchanges) / took.Seconds(),
	}
}
