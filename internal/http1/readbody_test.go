package http1_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/membudget"
	"waxwingpick/internal/http1"
)

// TestBodyIsAccountedForBeforeItIsRead reads bodies around the limits of size and memory. What is allocated must never exceed what is
// accounted for, and a body that fails must leave nothing behind.
func TestBodyIsAccountedForBeforeItIsRead(t *testing.T) {
	t.Parallel()
	const limit = 10_000
	for _, n := range []int{0, 1, 511, 512, 513, 1023, 1024, limit - 1, limit, limit + 1, 3 * limit} {
		for _, length := range []int{-1, n} {
			content := bytes.Repeat([]byte("x"), n)
			for name, r := range map[string]io.Reader{
				"whole":      bytes.NewReader(content),
				"with EOF":   iotest.DataErrReader(bytes.NewReader(content)),
				"in halves":  iotest.HalfReader(bytes.NewReader(content)),
				"byte-wise":  iotest.OneByteReader(bytes.NewReader(content)),
				"no account": bytes.NewReader(content),
			} {
				budget, err := membudget.New(1 << 20)
				require.NoError(t, err)
				hold := budget.Hold()
				var memory waxwingpick.MemoryHold = hold
				if name == "no account" {
					memory = nil
				}
				body, err := http1.ReadBody(r, length, limit, memory)
				if n > limit {
					require.ErrorIs(t, err, http1.ErrBodyTooLarge)
					require.Zero(t, budget.Used())
					continue
				}
				require.NoError(t, err)
				require.Equal(t, content, append([]byte{}, body...), "%s, %d bytes", name, n)
				if memory != nil {
					require.EqualValues(t, cap(body), budget.Used())
				}
				hold.Release()
				require.Zero(t, budget.Used())
			}
		}
	}
}

// TestBodyWithoutMemoryIsNotRead reads bodies that exceed the memory, with a stated length before the first byte.
func TestBodyWithoutMemoryIsNotRead(t *testing.T) {
	t.Parallel()
	budget, err := membudget.New(10_000)
	require.NoError(t, err)
	for _, length := range []int{-1, 1 << 20} {
		endless := &counter{}
		_, err := http1.ReadBody(endless, length, 8<<20, budget.Hold())
		require.ErrorIs(t, err, waxwingpick.ErrMemory)
		require.Zero(t, budget.Used())
		require.Less(t, endless.read, 10_000)
		if length > 0 {
			require.Zero(t, endless.read)
		}
	}
	broken := eris.New("broken")
	_, err = http1.ReadBody(io.MultiReader(bytes.NewReader(make([]byte, 600)), iotest.ErrReader(broken)), -1, 8<<20, budget.Hold())
	require.ErrorIs(t, err, broken)
	require.Zero(t, budget.Used())
	_, err = http1.ReadBody(bytes.NewReader(make([]byte, 599)), 600, 8<<20, budget.Hold())
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "a body shorter than stated is not complete")
	require.Zero(t, budget.Used())
	_, err = http1.ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 8<<20, budget.Hold())
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "a body that breaks off is not complete")
}

// counter is a body without end, which counts the bytes read.
type counter struct {
	read int
}

func (c *counter) Read(p []byte) (int, error) {
	c.read += len(p)
	return len(p), nil
}
