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

// streamEvents answers with the events of a stream from an offset. The stream
// runs on when the connection breaks.
func (e *Engine) streamEvents(c fiber.Ctx, s *stream, offset int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(HeaderStreamID, s.id)
	// The caller learns that the request was taken before its first token.
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	return c.SendStream(&eventReader{
		engine: e,
		stream: s,
		conn:   c.RequestCtx().Conn(),
		offset: offset,
	})
}

// eventReader yields a stream's events as they come. The server sends what one
// Read returned before it calls the next, so a cut happens after exactly the
// events before it.
type eventReader struct {
	engine *Engine
	stream *stream
	conn   net.Conn
	offset int
	sent   int
	done   bool
	buf    bytes.Buffer
}

// Read returns the events that have come, or waits for the next.
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

// fill puts events into the buffer; it reports false when the connection is to be broken.
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

// cut breaks or ends the answer where a fault wants it; what is in the buffer goes out before.
func (r *eventReader) cut() (cut, again bool) {
	if r.buf.Len() > 0 && r.engine.cutDue(r.sent) {
		return true, true
	}
	if !r.engine.cutNow(r.sent) {
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
	// A buffer takes every write.
	_, _ = m.WriteTo(&r.buf)
	r.sent++
}
