package engine

import (
	"context"
	"fmt"
	"io"
	"sync"

	"waxwingpick"
)

// eventStream yields the events of a stream without HTTP. Closing it does not end the generation.
type eventStream struct {
	engine *Engine
	stream *stream
	conn   context.Context
	end    context.CancelFunc

	mu     sync.Mutex
	offset int
	sent   int
	done   bool
	broken bool
}

// Next returns the next event. After the last one it fails with io.EOF.
func (r *eventStream) Next() (waxwingpick.StreamEvent, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var none waxwingpick.StreamEvent
	if r.done {
		return none, io.EOF
	}
	r.broken = r.broken || !r.await() || r.engine.takeCut(r.sent)
	if r.broken {
		return none, fmt.Errorf("%w at offset %d: %w", waxwingpick.ErrEngineLost, r.offset, errStreamBroken)
	}
	event := waxwingpick.StreamEvent{
		Offset: int64(r.offset),
	}
	if r.offset < len(r.stream.tokens) {
		event.Data = r.stream.chunk(r.offset)
	} else {
		event.Last = true
		r.done = true
	}
	r.offset++
	r.sent++
	return event, nil
}

// Close makes a waiting Next fail.
func (r *eventStream) Close() error {
	r.end()
	return nil
}

// await waits until the next event is available. It returns false if there will be none.
func (r *eventStream) await() bool {
	for r.conn.Err() == nil {
		r.engine.mu.Lock()
		emitted, phase, changed := r.stream.emitted, r.stream.phase, r.stream.changed
		r.engine.mu.Unlock()
		switch {
		case r.offset < emitted, phase == phaseFinished:
			return true
		case phase > phaseFinished:
			return false
		}
		select {
		case <-changed:
		case <-r.conn.Done():
		}
	}
	return false
}
