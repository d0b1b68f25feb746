package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// linkPiece is what a link carries at a time.
const linkPiece = 16 << 10

// link is a machine's way to the store: it carries a limited number of bytes per second, and nothing while it is cut.
type link struct {
	listener net.Listener
	store    string
	rate     int
	cut      atomic.Bool

	mu   sync.Mutex
	free time.Time
}

// newLink starts a link that carries rate bytes per second.
func newLink(ctx context.Context, store string, rate int) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start link: %w", err)
	}
	l := &link{
		listener: ln,
		store:    store,
		rate:     rate,
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(ctx, c)
		}
	}()
	return l, nil
}

// carry forwards a connection in both directions.
func (l *link) carry(ctx context.Context, c net.Conn) {
	defer c.Close()
	s, err := net.Dial("tcp", l.store)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{c, s}, {s, c}} {
		go func() {
			l.forward(ctx, way[0], way[1])
			done <- struct{}{}
		}()
	}
	<-done
}

func (l *link) forward(ctx context.Context, from io.Reader, to io.Writer) {
	buf := make([]byte, linkPiece)
	for {
		n, err := from.Read(buf)
		for l.cut.Load() {
			if !sleep(ctx, 5*time.Millisecond) {
				return
			}
		}
		if n > 0 {
			l.wait(ctx, n)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait waits until the link has carried n more bytes.
func (l *link) wait(ctx context.Context, n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	until := l.free
	l.mu.Unlock()
	sleep(ctx, time.Until(until))
}

// door is the store as one machine sees it: it forwards that machine's calls, or turns them away.
type door struct {
	listener net.Listener
	shut     atomic.Bool
	refused  atomic.Int64
}

// newDoor starts a door before a store.
func newDoor(ctx context.Context, store string) (*door, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start door: %w", err)
	}
	d := &door{
		listener: ln,
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if d.shut.Load() {
				d.refused.Add(1)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			d.forward(w, q, store)
		}),
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(ln) }()
	return d, nil
}

func (d *door) forward(w http.ResponseWriter, q *http.Request, store string) {
	out, err := http.NewRequestWithContext(q.Context(), q.Method, "http://"+store+q.URL.RequestURI(), q.Body)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.Header = q.Header.Clone()
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}
