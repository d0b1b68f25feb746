package openai

import (
	"bytes"
	"errors"
	"io"

	"github.com/goccy/go-json"
	"github.com/tmaxmax/go-sse"
)

const (
	doneMarker  = "[DONE]"
	errorMarker = "error"
)

// eventWriter writes an answer as server-sent events, each in one piece.
type eventWriter struct {
	w io.Writer
	// usage says that the caller asked for token counts.
	usage bool
	event bytes.Buffer
}

// copy writes the whole answer; the caller is gone where an event can't be sent.
func (ew *eventWriter) copy(answer Answer) {
	for {
		chunk, err := answer.Next()
		if errors.Is(err, io.EOF) {
			_ = ew.write("", []byte(doneMarker))
			return
		}
		if err == nil {
			err = ew.chunk(chunk)
		}
		if err != nil {
			ew.failure(err)
			return
		}
	}
}

// chunk writes one chunk, unless nothing of it is for the caller.
func (ew *eventWriter) chunk(c Chunk) error {
	if !ew.usage {
		// Engines are always asked for it, to learn token counts.
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

// failure ends a started stream with an explicit error event and without the done marker.
func (ew *eventWriter) failure(err error) {
	data, marshalErr := json.Marshal(modelProblem(err))
	if marshalErr != nil {
		return
	}
	_ = ew.write(errorMarker, data)
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
