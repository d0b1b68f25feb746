package engine_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/loopback"
	"waxwingpick/io/engine"
)

// TestEarlierResponseIsNotTheAnswerToALaterRequest has an engine write its earlier responses once more, when it has received
// the next request of a kept connection: a refusal, which states that the request has not run, or a generation. Responses of
// engines do not name their requests.
func TestEarlierResponseIsNotTheAnswerToALaterRequest(t *testing.T) {
	t.Parallel()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 25\r\n\r\n{\"error\":{\"notRun\":true}}"
	generation := func(data string) string {
		events := fmt.Sprintf("id: 0\ndata: {\"n\":%q}\n\nid: 1\ndata: [DONE]\n\n", data)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events)
	}
	for name, first := range map[string]string{
		"refusal":    refusal,
		"generation": generation("earlier"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", loopback.AnyPort())
			require.NoError(t, err)
			t.Cleanup(func() { ln.Close() })
			requests := 0
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					earlier := ""
					for br := bufio.NewReader(c); ; {
						req, err := http.ReadRequest(br)
						if err != nil {
							break
						}
						_, _ = io.Copy(io.Discard, req.Body)
						requests++
						own := generation("own")
						if requests == 1 {
							own = first
						}
						_, _ = io.WriteString(c, earlier+own)
						earlier += own
					}
					c.Close()
				}
			}()
			client, err := engine.New(ln.Addr().String())
			require.NoError(t, err)
			t.Cleanup(client.Close)
			for i := range 3 {
				data, err := generateOnce(t, client, fmt.Sprint("stream", i))
				if i == 0 {
					continue
				}
				require.NoError(t, err)
				require.Equal(t, []string{`{"n":"own"}`}, data)
			}
		})
	}
}

// generateOnce returns the data of the events of one generation, and an error unless it is complete.
func generateOnce(t *testing.T, client *engine.Client, id string) ([]string, error) {
	t.Helper()
	stream, err := client.Generate(t.Context(), waxwingpick.GenerateRequest{
		StreamID: id,
		Path:     completions,
		Body:     []byte("{}"),
	})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	got := []string{}
	for {
		event, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return got, nil
		case err != nil:
			return got, err
		case !event.Last:
			got = append(got, string(event.Data))
		}
	}
}
