package http1

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEndToEndRemovesConnectionFields(t *testing.T) {
	fields := []Field{
		{Name: "Accept", Value: "a"},
		{Name: "CONNECTION", Value: "close, X-One"},
		{Name: "Connection", Value: "x-two ,"},
		{Name: "x-one", Value: "1"},
		{Name: "X-Two", Value: "2"},
		{Name: "X-Three", Value: "3"},
		{Name: "Keep-Alive", Value: "timeout=3"},
		{Name: "transfer-encoding", Value: "chunked"},
		{Name: "Host", Value: "h"},
		{Name: "Content-Length", Value: "3"},
	}
	require.Equal(t, []Field{
		{Name: "Accept", Value: "a"},
		{Name: "X-Three", Value: "3"},
	}, EndToEnd(fields))
	require.Empty(t, EndToEnd(nil))
}
