package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["crash-of-unframed-stream"] = crashOfUnframedStream
}

const (
	// targetArgument makes the harness a replica, which runs as a process of its own so that it can be killed.
	targetArgument = "target"
	unframedEvents = 17
	unframedPause  = 70 * time.Millisecond
	crashTargets   = 7
	crashTime      = 30 * time.Second
	// crashInterval is the time between two crashes, each of one replica, and downTime how long it is away.
	crashInterval = 6 * time.Second
	downTime      = 3 * time.Second
)

// serveUnframed serves streams without a length and chunks, each of which ends with its connection.
func serveUnframed(id, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for target: %w", err)
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			request := r.Header.Get("Waxwingpick-Request-Id")
			if r.Header.Get("Waxwingpick-Expect-Instance") != id {
				fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nWaxwingpick-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nWaxwingpick-Request-Id: %[1]s\r\nWaxwingpick-Server-Stamp: %[2]s.%[1]s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request, id)
			for i := 1; i <= unframedEvents; i++ {
				time.Sleep(unframedPause)
				if _, err := fmt.Fprintf(conn, "id: %[1]d\ndata: piece %[1]d of %[2]d\n\n", i, unframedEvents); err != nil {
					return
				}
			}
		}()
	}
}

// targetProcess is a replica that runs as a process of its own.
type targetProcess struct {
	t   *target
	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *targetProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find own program: %w", err)
	}
	cmd := exec.Command(self, targetArgument, p.t.id, p.t.addr)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start target: %w", err)
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	p.t.born = time.Now().UnixMilli()
	return p.t.announce(1)
}

// kill ends the process as a crash does.
func (p *targetProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// crashOfUnframedStream kills replicas while they send streams without a length.
func crashOfUnframedStream(w *world) ([]string, error) {
	if err := w.configure(7, route("replan", "streaming", "llm", 1, streamTimeout)); err != nil {
		return nil, err
	}
	var processes []*targetProcess
	defer func() {
		for _, p := range processes {
			p.kill()
		}
	}()
	for i := range crashTargets {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		p := &targetProcess{
			t: &target{
				w:       w,
				id:      fmt.Sprint("llm-", i),
				service: "llm",
				addr:    addr,
				slots:   64,
				server:  &http.Server{},
			},
		}
		if err := p.start(); err != nil {
			return nil, err
		}
		w.every(heartbeat, func(n int) { _ = p.t.announce(n + 1) })
		processes = append(processes, p)
	}
	if _, err := w.startGateway("front-0"); err != nil {
		return nil, err
	}
	c := &callers{
		w:        w,
		balancer: w.startBalancer(),
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 16 {
		c.loop(&wg, stop, time.Duration(50+10*i)*time.Millisecond, func(one *caller, n int) {
			one.send(http.MethodPost, "/replan/2f", []byte("season"), streamTimeout, promptFields(i*1000+n)...)
		})
	}
	for began, n := time.Now(), 0; time.Since(began) < crashTime; n++ {
		w.sleep(crashInterval - downTime)
		p := processes[n%len(processes)]
		if w.trouble {
			w.record.write("target %s crashes", p.t.id)
			p.kill()
		}
		w.sleep(downTime)
		if w.trouble {
			if err := p.start(); err != nil {
				return nil, err
			}
		}
	}
	close(stop)
	wg.Wait()
	return c.truncated(), nil
}

// truncated returns the breaks of ORDER: streams that end as complete before their last piece.
func (c *callers) truncated() []string {
	last := fmt.Sprintf("piece %[1]d of %[1]d\n\n", unframedEvents)
	var broken []string
	for _, r := range c.results {
		if r.err == nil && r.status == http.StatusOK && !strings.HasSuffix(string(r.body), last) {
			broken = append(broken, fmt.Sprintf("ORDER: %s ends as complete after %d of %d events: %q", r.id, strings.Count(string(r.body), "data:"), unframedEvents, r.body[max(0, len(r.body)-30):]))
		}
	}
	return broken
}
