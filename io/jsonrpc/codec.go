package jsonrpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxFrameSize is the maximum size of one message, in bytes.
const MaxFrameSize = 4 << 20

// minFrameSize is the size in bytes of the shortest JSON-RPC message with its length prefix.
const minFrameSize = binary.MaxVarintLen64

// ErrFrameTooLarge reports that the length prefix of a message exceeds MaxFrameSize.
var ErrFrameTooLarge = eris.New("message exceeds the maximum frame size")

// boundedCodec rejects messages larger than MaxFrameSize before reading them.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
}

// WriteObject writes obj as one message.
func (c boundedCodec) WriteObject(w io.Writer, obj any) error {
	return c.VarintObjectCodec.WriteObject(w, obj)
}

// ReadObject reads one message of at most MaxFrameSize bytes into v.
func (c boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	head, err := r.Peek(minFrameSize)
	if err != nil {
		return err
	}
	size, n := binary.Uvarint(head)
	if n <= 0 || size > MaxFrameSize {
		return fmt.Errorf("read message of %d bytes: %w", size, ErrFrameTooLarge)
	}
	return c.VarintObjectCodec.ReadObject(r, v)
}
