package http1_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/http1"
	"waxwingpick/internal/standin/flood"
)

const (
	// endlessBodyLimit is the client's limit of a response. endlessSentLimit bounds what a peer can send before the
	// connection closes: that limit and the buffers of both ends.
	endlessBodyLimit = 1 << 20
	endlessSentLimit = endlessBodyLimit + 16<<20
	// endlessTimeout is the request's time-out.
	endlessTimeout = 300 * time.Millisecond
	// endlessPause is the delay between two writes of a slow peer.
	endlessPause = 5 * time.Millisecond
)

// TestBytesWithoutEndEnd has a peer send endless data, fast and slowly, that is no valid response or never completes
// one. The request has to end by its deadline or a size limit with ErrEngineLost, since it may have run. The connection
// has to be closed after a bounded number of bytes.
func TestBytesWithoutEndEnd(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 8<<10)
	for name, tc := range map[string]struct {
		first, piece string
	}{
		"no protocol":                 {piece: long},
		"status line":                 {first: "HTTP/1.1 200 ", piece: long},
		"empty lines":                 {piece: strings.Repeat("\r\n", 4<<10)},
		"header lines":                {first: head, piece: "X-Line: value\r\n"},
		"one header line":             {first: head + "X-Line: ", piece: long},
		"interim responses":           {piece: "HTTP/1.1 102 Processing\r\n\r\n"},
		"continues":                   {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without a length":       {first: head + "\r\n", piece: long},
		"body with a length":          {first: head + "Content-Length: 9000000000000\r\n\r\n", piece: long},
		"chunks":                      {first: head + "Transfer-Encoding: chunked\r\n\r\n", piece: "2000\r\n" + long + "\r\n"},
		"a chunk's size":              {first: head + "Transfer-Encoding: chunked\r\n\r\n", piece: strings.Repeat("0", 8<<10)},
		"a chunk's extension":         {first: head + "Transfer-Encoding: chunked\r\n\r\n5;", piece: long},
		"empty chunk without end":     {first: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: "X-Line: value\r\n"},
		"one trailer line":            {first: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Line: ", piece: long},
		"responses to other requests": {piece: head + "X-Echo: other\r\nContent-Length: 0\r\n\r\n"},
		"events":                      {first: head + "Content-Type: text/event-stream\r\n\r\n", piece: "id: 1\ndata: x\n\n"},
		"an event without its end":    {first: head + "Content-Type: text/event-stream\r\n\r\n", piece: "data: x\n"},
	} {
		for speed, pause := range map[string]time.Duration{
			"fast": 0,
			"slow": endlessPause,
		} {
			for mode, stream := range map[string]bool{
				"whole":    false,
				"streamed": true,
			} {
				t.Run(strings.Join([]string{name, speed, mode}, "/"), func(t *testing.T) {
					t.Parallel()
					f, err := flood.New(tc.first, tc.piece, pause)
					require.NoError(t, err)
					t.Cleanup(f.Close)
					client := http1.New(f.Addr(), endlessBodyLimit)
					t.Cleanup(client.Close)
					require.ErrorIs(t, readAll(client, stream), waxwingpick.ErrEngineLost)
					select {
					case <-f.Disconnected():
					case <-time.After(time.Minute):
						require.Fail(t, "the connection is still open")
					}
					require.Less(t, f.BytesWritten(), int64(endlessSentLimit))
				})
			}
		}
	}
}

// readAll sends a request and reads its response until the end or an error.
func readAll(client *http1.Client, stream bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	response, err := client.Send(ctx, http1.Request{
		Method: http.MethodPost,
		URI:    "/",
		Stream: stream,
		Echo: http1.Field{
			Name:  "X-Echo",
			Value: "own",
		},
		Timeout: endlessTimeout,
	})
	if err != nil {
		return err
	}
	defer response.Close()
	_, err = response.Body(endlessBodyLimit)
	return err
}
