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
	"time"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"waxwingpick"
)

const (
	doneData  = "[DONE]"
	errorName = `"error"`

	// drainTimeout bounds the wait for the end of the answer after its last event.
	drainTimeout = 100 * time.Millisecond
)

var (
	errGap     = eris.New("events are missing")
	errEnded   = eris.New("answer ended before its last event")
	errInBand  = eris.New("engine reported an error in the stream")
	errClosed  = eris.New("stream is closed")
	errBadID   = eris.New("event ID is no offset")
	errNoEvent = eris.New("event without data")
)

// body is an answer whose events are read as they come.
type body interface {
	Stream() io.Reader
	// Interrupt makes a read that is under way fail.
	Interrupt()
	// ReadWithin bounds the rest of the reading.
	ReadWithin(d time.Duration)
	Close()
}

// eventStream reads the server-sent events of one answer. Close may be called
// while Next waits, which then fails.
type eventStream struct {
	mu     sync.Mutex
	answer body
	next   func() (sse.Event, error, bool)
	stop   func()
	offset int64
	done   bool
	err    error
}

func newEventStream(a body, offset int64, maxEvent int) *eventStream {
	s := &eventStream{
		answer: a,
		offset: offset,
	}
	s.next, s.stop = iter.Pull2(sse.Read(a.Stream(), &sse.ReadConfig{
		MaxEventSize: maxEvent,
	}))
	return s
}

// Next returns the next event; after the last one it fails with io.EOF.
func (s *eventStream) Next() (waxwingpick.StreamEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var none waxwingpick.StreamEvent
	if s.done {
		return none, io.EOF
	}
	if s.err != nil {
		return none, s.err
	}
	event, err := s.read()
	if err != nil {
		s.err = fmt.Errorf("%w at offset %d: %w", waxwingpick.ErrEngineLost, s.offset, err)
		return none, s.err
	}
	s.offset++
	s.done = event.Last
	return event, nil
}

// Close frees the stream's connection, which is used again only when the answer was read to its end.
func (s *eventStream) Close() error {
	if !s.mu.TryLock() {
		s.answer.Interrupt()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.err == nil && s.done {
		s.drain()
	}
	if s.err == nil {
		s.err = errClosed
	}
	s.stop()
	s.answer.Close()
	return nil
}

// drain reads the end of an answer whose last event was read.
func (s *eventStream) drain() {
	s.answer.ReadWithin(drainTimeout)
	for {
		if _, _, more := s.next(); !more {
			return
		}
	}
}

func (s *eventStream) read() (waxwingpick.StreamEvent, error) {
	var none waxwingpick.StreamEvent
	raw, err, more := s.next()
	if err != nil {
		return none, err
	}
	if !more {
		return none, errEnded
	}
	if err := s.checkOffset(raw.LastEventID); err != nil {
		return none, err
	}
	if raw.Data == doneData {
		return waxwingpick.StreamEvent{
			Offset: s.offset,
			Last:   true,
		}, nil
	}
	data := []byte(raw.Data)
	if len(data) == 0 {
		return none, errNoEvent
	}
	if err := checkInBandError(data); err != nil {
		return none, err
	}
	return waxwingpick.StreamEvent{
		Offset: s.offset,
		Data:   data,
	}, nil
}

// checkOffset compares an event's ID with the expected offset; engines that give no IDs are counted along.
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

// checkInBandError finds the error object that engines send once the answer has begun.
func checkInBandError(data []byte) error {
	if !bytes.Contains(data, []byte(errorName)) {
		return nil
	}
	var chunk struct {
		Error json.RawMessage `json:"error"`
	}
	err := json.Unmarshal(data, &chunk)
	var otherType *json.UnmarshalTypeError
	if errors.As(err, &otherType) {
		// A chunk that is no object has no error field.
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
