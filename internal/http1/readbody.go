package http1

import (
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// minBodyBuffer is the first size of the buffer for a body of unknown length.
const minBodyBuffer = 512

// ErrBodyTooLarge is returned for a body that exceeds its limit.
var ErrBodyTooLarge = eris.New("body is too large")

// ReadBody reads a body of at most limit bytes. length is negative if it is not stated. memory is asked before each allocation; nil
// allows all. ReadBody fails with ErrBodyTooLarge or ErrMemory, and then leaves nothing accounted for.
func ReadBody(r io.Reader, length, limit int, memory waxwingpick.MemoryHold) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, allowed %d", ErrBodyTooLarge, length, limit)
	}
	if memory == nil {
		memory = unlimited{}
	}
	// A full buffer has room for one byte more than the body, since only a further read finds its end.
	size := length + 1
	if length < 0 {
		size = minBodyBuffer
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size = min(size, limit+1)
			if err := memory.Grow(size); err != nil {
				memory.Shrink(cap(body))
				return nil, fmt.Errorf("body after %d bytes: %w", len(body), err)
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			memory.Shrink(cap(body))
			body = grown
			size *= 2
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			memory.Shrink(cap(body))
			return nil, fmt.Errorf("%w: more than %d bytes", ErrBodyTooLarge, limit)
		case errors.Is(err, io.EOF) && length >= 0 && len(body) != length:
			memory.Shrink(cap(body))
			return nil, fmt.Errorf("read body: %d bytes of %d: %w", len(body), length, io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			memory.Shrink(cap(body))
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// unlimited is a hold without a limit.
type unlimited struct{}

func (unlimited) Grow(int) error { return nil }
func (unlimited) Shrink(int)     {}
