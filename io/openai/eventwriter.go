package openai

import (
	"bytes"
	"errors"
	"io"

	"github.com/goccy/go-json"
	"github.com/tmaxmax/go-sse"
)

const (
	doneMarker = "[DONE]"
	errorEvent = "error"
)

// eventWriter writes a response as server-sent events, each with one call of Write.
type eventWriter struct {
	w io.Writer
	// usage reports whether the caller requested token counts.
	usage bool
	event bytes.Buffer
}

// copy writes all chunks and the event that ends the stream. A failed write means that the caller has disconnected, so
// copy returns no error.
func (ew *eventWriter) copy(stream ChunkStream) {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			_ = ew.write("", []byte(doneMarker))
			return
		}
		if err == nil {
			err = ew.writeChunk(chunk)
		}
		if err != nil {
			ew.writeError(err)
			return
		}
	}
}

// writeChunk writes one chunk. It omits chunks that hold only usage if the caller did not request it.
func (ew *eventWriter) writeChunk(c Chunk) error {
	if !ew.usage {
		// The entry always requests usage from engines, because it needs the token counts.
		c.Usage = nil
	}
	if len(c.Choices) == 0 && c.Usage == nil {
		return nil
	}
	data, err := marshalChunk(c)
	if err != nil {
		return err
	}
	return ew.write("", data)
}

// writeError ends a stream that has started with an error event instead of the done marker.
func (ew *eventWriter) writeError(err error) {
	data, marshalErr := json.Marshal(modelProblem(err))
	if marshalErr != nil {
		return
	}
	_ = ew.write(errorEvent, data)
}

func (ew *eventWriter) write(name string, data []byte) error {
	var m sse.Message
	if name != "" {
		m.Type = sse.Type(name)
	}
	m.AppendData(string(data))
	ew.event.Reset()
	if _, err := m.WriteTo(&ew.event); err != nil {
		return err
	}
	_, err := ew.w.Write(ew.event.Bytes())
	return err
}
