package http1

import (
	"io"

	"github.com/rotisserie/eris"
)

var errWriteOnly = eris.New("body can only be written")

// StreamBody is the body of an answer that a server streams. It is written on the connection's own goroutine, where the
// library's stream writers put a pipe and a second goroutine in between.
type StreamBody struct {
	write func(w io.Writer)
	end   func()
}

// NewStreamBody returns a body that write produces, each of its writes being sent at once; end is called after it, also
// when nothing was written.
func NewStreamBody(write func(w io.Writer), end func()) *StreamBody {
	return &StreamBody{
		write: write,
		end:   end,
	}
}

// SupportsBodyWriteTo makes the server call WriteTo in place of Read.
func (b *StreamBody) SupportsBodyWriteTo() bool {
	return true
}

// WriteTo produces the body; the server notices a failed write by itself.
func (b *StreamBody) WriteTo(w io.Writer) (int64, error) {
	defer endProcess()
	b.write(w)
	return 0, nil
}

// Read fails, as the body can only be written.
func (b *StreamBody) Read([]byte) (int, error) {
	return 0, errWriteOnly
}

// Close ends the body.
func (b *StreamBody) Close() error {
	b.end()
	return nil
}

// endProcess lets a panic end the process, as elsewhere. The server would hide it and leave the request half ended.
func endProcess() {
	cause := recover()
	if cause == nil {
		return
	}
	go func() {
		panic(cause)
	}()
	select {}
}
