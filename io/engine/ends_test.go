package engine_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
	"waxwingpick/io/engine"
)

// TestGenerationIsCompleteOnlyAfterItsLastEvent cuts a generation at every byte by closing the connection in order. A response
// without length and chunks ends with its connection, and only its last event tells that it is complete.
func TestGenerationIsCompleteOnlyAfterItsLastEvent(t *testing.T) {
	t.Parallel()
	const events = "id: 0\ndata: {\"n\":1}\n\nid: 1\ndata: {\"n\":2}\n\nid: 2\ndata: [DONE]\n\n"
	want := []string{`{"n":1}`, `{"n":2}`}
	for cut := range len(events) + 1 {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			t.Parallel()
			got, err := generate(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+events[:cut])
			require.Equal(t, cut == len(events), err == nil, "%q, %v", got, err)
			require.Equal(t, want[:len(got)], got, "whole events only")
		})
	}
}

// generate returns the data of the events of a generation whose engine writes raw bytes and closes the connection, and an
// error unless it is complete.
func generate(t *testing.T, raw string) ([]string, error) {
	t.Helper()
	peer, err := loopback.NewResponder(func(*http.Request) string { return raw })
	require.NoError(t, err)
	t.Cleanup(peer.Close)
	client, err := engine.New(peer.Addr())
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return generateOnce(t, client, "id")
}
