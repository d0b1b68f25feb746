package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"waxwingpick"
)

const (
	doneData = "[DONE]"
	errorKey = `"error"`
)

var (
	errGap    = eris.New("events are missing")
	errEnded  = eris.New("response ended before its last event")
	errInBand = eris.New("engine reported an error in the stream")
	errClosed = eris.New("stream is closed")
	errBadID  = eris.New("event ID is not an offset")
	errNoData = eris.New("event without data")
)

// body is a response whose events are read as they arrive.
type body interface {
	Stream() io.Reader
	// Interrupt makes a running read fail.
	Interrupt()
	Close()
}

// eventStream reads the server-sent events of one response. Close may be called while Next waits; Next then fails.
type eventStream struct {
	mu     sync.Mutex
	resp   body
	next   func() (sse.Event, error, bool)
	stop   func()
	offset int64
	done   bool
	err    error
}

func newEventStream(b body, offset int64, maxEvent int) *eventStream {
	s := &eventStream{
		resp:   b,
		offset: offset,
	}
	s.next, s.stop = iter.Pull2(sse.Read(b.Stream(), &sse.ReadConfig{
		MaxEventSize: maxEvent,
	}))
	return s
}

// Next returns the next event. After the last event it returns io.EOF. If the stream breaks, or reports an error or a
// wrong offset, it fails with ErrEngineLost.
func (s *eventStream) Next() (waxwingpick.StreamEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zero waxwingpick.StreamEvent
	if s.done {
		return zero, io.EOF
	}
	if s.err != nil {
		return zero, s.err
	}
	event, err := s.read()
	if err != nil {
		s.err = fmt.Errorf("%w at offset %d: %w", waxwingpick.ErrEngineLost, s.offset, err)
		return zero, s.err
	}
	s.offset++
	s.done = event.Last
	return event, nil
}

// Close closes the connection.
func (s *eventStream) Close() error {
	if !s.mu.TryLock() {
		s.resp.Interrupt()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = errClosed
	}
	s.stop()
	s.resp.Close()
	return nil
}

func (s *eventStream) read() (waxwingpick.StreamEvent, error) {
	var zero waxwingpick.StreamEvent
	raw, err, more := s.next()
	if err != nil {
		return zero, err
	}
	if !more {
		return zero, errEnded
	}
	if err := s.checkOffset(raw.LastEventID); err != nil {
		return zero, err
	}
	if raw.Data == doneData {
		return waxwingpick.StreamEvent{
			Offset: s.offset,
			Last:   true,
		}, nil
	}
	data := []byte(raw.Data)
	if len(data) == 0 {
		return zero, errNoData
	}
	if err := checkInBandError(data); err != nil {
		return zero, err
	}
	return waxwingpick.StreamEvent{
		Offset: s.offset,
		Data:   data,
	}, nil
}

// checkOffset compares the event ID with the expected offset. An event without an ID is assumed to have that offset.
func (s *eventStream) checkOffset(id string) error {
	if id == "" {
		return nil
	}
	offset, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: %q", errBadID, id)
	}
	if offset != s.offset {
		return fmt.Errorf("%w: got %d", errGap, offset)
	}
	return nil
}

// checkInBandError returns an error if the event holds the error object that engines send when a request fails after
// the response has started.
func checkInBandError(data []byte) error {
	if !bytes.Contains(data, []byte(errorKey)) {
		return nil
	}
	var chunk struct {
		Error json.RawMessage `json:"error"`
	}
	err := json.Unmarshal(data, &chunk)
	var otherType *json.UnmarshalTypeError
	if errors.As(err, &otherType) {
		// A chunk that is not a JSON object has no error field.
		return nil
	}
	if err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if len(chunk.Error) == 0 || string(chunk.Error) == "null" {
		return nil
	}
	return fmt.Errorf("%w: %.256s", errInBand, chunk.Error)
}
