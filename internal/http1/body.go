package http1

import (
	"io"

	"github.com/rotisserie/eris"
)

var errWriteOnly = eris.New("body can only be written")

// StreamBody is a streamed response body of a server. It is written on the connection's goroutine, while fasthttp's
// stream writers use a pipe and a second goroutine.
type StreamBody struct {
	write func(w io.Writer)
	end   func()
}

// NewStreamBody returns a body that is produced by write, each of whose writes is sent immediately. end is called
// afterwards, even if the body was not sent.
func NewStreamBody(write func(w io.Writer), end func()) *StreamBody {
	return &StreamBody{
		write: write,
		end:   end,
	}
}

// SupportsBodyWriteTo makes the server call WriteTo instead of Read.
func (b *StreamBody) SupportsBodyWriteTo() bool {
	return true
}

// WriteTo produces the body. It returns no write errors, as the server detects them itself.
func (b *StreamBody) WriteTo(w io.Writer) (int64, error) {
	defer crashOnPanic()
	b.write(w)
	return 0, nil
}

// Read always fails, as the body can only be written.
func (b *StreamBody) Read([]byte) (int, error) {
	return 0, errWriteOnly
}

// Close calls the end function.
func (b *StreamBody) Close() error {
	b.end()
	return nil
}

// crashOnPanic makes a panic end the process. The server would recover it and leave the request unfinished.
func crashOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	go func() {
		panic(cause)
	}()
	select {}
}
