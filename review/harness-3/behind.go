package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkRate is the link of a front machine of grown/cacao-lotes-grown.toml, 10 Mbit/s, in bytes per second.
	linkRate = 10_000_000 / 8
	// linkPiece is what the link carries at a time.
	linkPiece = 4 << 10
	// manyRoutes is the number of routes that the configuration grows by, and cutTime how long the machine is cut off from the store.
	manyRoutes = 1640
	cutTime    = 5500 * time.Millisecond
	// cutVersions is the number of configurations that are written meanwhile.
	cutVersions = 3
	// drainTime and contactAgain are drainMs and contactMs of that site.
	drainTime    = 3 * time.Second
	contactAgain = 4 * time.Second
	// watchTime is how long requests are observed after the replica has reported that it leaves.
	watchTime = 7 * time.Second
)

// link is the machine's way to the store: it carries a limited number of bytes per second, and nothing while it is cut.
type link struct {
	listener net.Listener
	store    string
	cut      atomic.Bool

	mu   sync.Mutex
	free time.Time
}

func newLink(ctx context.Context, store string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start link: %w", err)
	}
	l := &link{
		listener: ln,
		store:    store,
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
	l.free = l.free.Add(time.Duration(n) * time.Second / linkRate)
	until := l.free
	l.mu.Unlock()
	sleep(ctx, time.Until(until))
}

// behindCase cuts a machine with a slow link off from the store while configurations with many routes are written. Later, when the
// machine counts as in touch again, a replica reports that it leaves. It breaks the rule if requests reach that replica drainTime later.
func behindCase(ctx context.Context, w *world, trouble bool) error {
	w.config.extra = manyRoutes
	if err := w.startSite(ctx); err != nil {
		return err
	}
	l, err := newLink(ctx, w.store.Addr())
	if err != nil {
		return err
	}
	g, err := w.startGateway("front-at-ost-a-1", "at-ost-a", "127.0.0.6", l.listener.Addr().String())
	if err != nil {
		return err
	}
	v := &visitors{
		addr:   g.front,
		counts: make(map[string]int),
	}
	arriving, leave := context.WithCancel(ctx)
	defer leave()
	for _, k := range []kind{teacherQuery, bookingCommit, rosterRead} {
		go v.arrive(arriving, k)
	}
	sleep(ctx, 3*time.Second)
	w.record.printf("answers so far: %v", v.take())
	if trouble {
		w.record.printf("cut off from the store for %s", cutTime)
		l.cut.Store(true)
	}
	for range cutVersions {
		sleep(ctx, cutTime/(cutVersions+1))
		if err := w.putConfig(ctx); err != nil {
			return err
		}
		w.record.printf("version %d written", w.config.version)
	}
	sleep(ctx, cutTime/(cutVersions+1))
	l.cut.Store(false)
	w.record.printf("link whole again")
	sleep(ctx, contactAgain)
	leaving := w.oldest(false)
	leaving.leave()
	if err := w.register(ctx, leaving); err != nil {
		return err
	}
	acked := time.Now()
	w.record.printf("%s reports that it leaves; acknowledged by the store", leaving.id)
	sleep(ctx, watchTime)
	leave()
	late := 0
	for _, ran := range leaving.allRuns() {
		if after := ran.at.Sub(acked); after > drainTime {
			late++
			w.record.printf("%s (%s) reached it %s after that", ran.id, ran.uri, after.Round(time.Millisecond))
		}
	}
	w.record.printf("answers since then: %v", v.take())
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached a replica more than %s after it had reported that it leaves", errBroken, late, drainTime)
	}
	return nil
}
