package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"waxwingpick"
)

// frameWriter writes frames and heartbeats to one connection. A failed write cancels the attempt.
type frameWriter struct {
	attempt string
	timers  waxwingpick.Timers
	cancel  context.CancelFunc

	mu            sync.Mutex
	w             io.Writer
	line          bytes.Buffer
	stopHeartbeat func()
	err           error
	closed        bool
}

func newFrameWriter(w io.Writer, attempt string, timers waxwingpick.Timers, cancel context.CancelFunc) *frameWriter {
	fw := &frameWriter{
		attempt: attempt,
		timers:  timers,
		cancel:  cancel,
		w:       w,
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.stopHeartbeat = timers.After(HeartbeatPeriod, fw.heartbeat)
	return fw
}

// send writes a frame. After the first failed write, it always returns that error.
func (fw *frameWriter) send(f Frame) error {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.write(f)
}

// close stops the heartbeats. Nothing is written to the connection afterwards.
func (fw *frameWriter) close() {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.closed = true
	fw.stopHeartbeat()
}

func (fw *frameWriter) heartbeat(time.Time) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.closed {
		return
	}
	if fw.write(Frame{
		Attempt: fw.attempt,
	}) == nil {
		fw.stopHeartbeat = fw.timers.After(HeartbeatPeriod, fw.heartbeat)
	}
}

// write encodes a frame and sends it with one call of Write. The caller must hold the lock.
func (fw *frameWriter) write(f Frame) error {
	if fw.err != nil {
		return fw.err
	}
	fw.line.Reset()
	if err := json.NewEncoder(&fw.line).Encode(f); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if _, err := fw.w.Write(fw.line.Bytes()); err != nil {
		fw.err = fmt.Errorf("send frame: %w", err)
		fw.cancel()
	}
	return fw.err
}
