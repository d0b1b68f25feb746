package engine

import (
	"bytes"
	"io"
	"net"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/tmaxmax/go-sse"
)

const doneData = "[DONE]"

// streamEvents responds with the events of a stream from an offset. A broken
// connection does not end the stream.
func (e *Engine) streamEvents(c fiber.Ctx, s *stream, offset int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(HeaderStreamID, s.id)
	// The headers tell the caller that the request was accepted, before its first token.
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	return c.SendStream(&eventReader{
		engine: e,
		stream: s,
		conn:   c.RequestCtx().Conn(),
		offset: offset,
	})
}

// eventReader reads the events of a stream as they are generated. The server
// sends the data of each Read before it calls Read again, so that a cut happens
// after exactly the events before it.
type eventReader struct {
	engine *Engine
	stream *stream
	conn   net.Conn
	offset int
	sent   int
	done   bool
	buf    bytes.Buffer
}

// Read returns the available events, or waits for the next one.
func (r *eventReader) Read(p []byte) (int, error) {
	for r.buf.Len() == 0 {
		if r.done {
			return 0, io.EOF
		}
		if !r.fill() {
			r.conn.Close()
			return 0, io.ErrUnexpectedEOF
		}
	}
	return r.buf.Read(p)
}

// fill writes available events to the buffer. It returns false if the connection has to be broken.
func (r *eventReader) fill() bool {
	r.engine.mu.Lock()
	emitted, phase, changed := r.stream.emitted, r.stream.phase, r.stream.changed
	r.engine.mu.Unlock()
	for ; r.offset < emitted; r.offset++ {
		if cut, again := r.cut(); cut {
			return again
		}
		r.write(string(r.stream.chunk(r.offset)))
	}
	if r.buf.Len() > 0 {
		return true
	}
	switch {
	case phase == phaseFinished:
		if cut, again := r.cut(); cut {
			return again
		}
		r.write(doneData)
		r.done = true
	case phase > phaseFinished:
		return false
	default:
		<-changed
	}
	return true
}

// cut reports whether a fault cuts the response here, and whether Read goes on: to send the buffer before the cut, or to
// end the response regularly.
func (r *eventReader) cut() (cut, again bool) {
	if r.buf.Len() > 0 && r.engine.mustCut(r.sent) {
		return true, true
	}
	if !r.engine.takeCut(r.sent) {
		return false, false
	}
	r.done = r.engine.Faults().EndEarly
	return true, r.done
}

func (r *eventReader) write(data string) {
	m := sse.Message{
		ID: sse.ID(strconv.Itoa(r.offset)),
	}
	m.AppendData(data)
	// Writes to a bytes.Buffer do not fail.
	_, _ = m.WriteTo(&r.buf)
	r.sent++
}
