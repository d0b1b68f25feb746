package http1_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/http1"
	"waxwingpick/internal/rawhttp"
)

// rawPeer is a server that writes raw bytes in response to each request, and a client of it.
type rawPeer struct {
	*http1.Client
	response atomic.Pointer[string]
}

// maxPieces bounds the parts in which a response is written.
const maxPieces = 100

// newRawPeer starts a server that writes in parts of piece bytes, or larger ones in place of more than maxPieces, with a pause
// between them; zero for one part.
func newRawPeer(t *testing.T, piece int) *rawPeer {
	p := &rawPeer{}
	s := listen(t, func(w io.Writer, _ int64, _ *http.Request) bool {
		rest := *p.response.Load()
		part := max(piece, len(rest)/maxPieces)
		for piece > 0 && len(rest) > part {
			if _, err := io.WriteString(w, rest[:part]); err != nil {
				return false
			}
			rest = rest[part:]
			time.Sleep(10 * time.Microsecond)
		}
		_, _ = io.WriteString(w, rest)
		return false
	})
	p.Client = http1.New(s.addr, 100)
	t.Cleanup(p.Close)
	return p
}

// receive sends a request and returns the status and the body of the response.
func (p *rawPeer) receive(t *testing.T, response string, stream bool) (int, string, error) {
	t.Helper()
	p.response.Store(&response)
	a, err := p.Send(t.Context(), http1.Request{
		Method:  http.MethodPost,
		URI:     "/x",
		Timeout: requestTimeout,
		Stream:  stream,
		Fresh:   true,
	})
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	body, err := a.Body(100)
	return a.Status(), string(body), err
}

// requireLost requires that a response is none, whole or streamed.
func (p *rawPeer) requireLost(t *testing.T, response string) {
	t.Helper()
	for _, stream := range []bool{false, true} {
		status, body, err := p.receive(t, response, stream)
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost, "stream %t, status %d, body %q: %.200q", stream, status, body, response)
	}
}

func (p *rawPeer) requireSound(t *testing.T, response string, status int) {
	t.Helper()
	for _, stream := range []bool{false, true} {
		got, body, err := p.receive(t, response, stream)
		require.NoError(t, err, "stream %t: %.200q", stream, response)
		require.Equal(t, status, got)
		require.Equal(t, "mine", body)
	}
}

// TestFieldNameWithABlankOrControlByteIsNoResponse sends names that are no tokens in each line of a header.
func TestFieldNameWithABlankOrControlByteIsNoResponse(t *testing.T) {
	t.Parallel()
	const other, length = "X-Other: v\r\n", "Content-Length: 4\r\n"
	for _, status := range []int{200, 503} {
		for name, format := range map[string]string{
			"first line":  "%s: v\r\n" + other + length,
			"middle line": other + "%s: v\r\n" + length,
			"last line":   other + length + "%s: v\r\n",
		} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				t.Parallel()
				p := newRawPeer(t, 0)
				line := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
				for _, field := range append(rawhttp.MalformedNames("X-Name"), "X(Name", "X\"Name", "X\x80Name", "X\xffName", "") {
					p.requireLost(t, line+fmt.Sprintf(format, field)+"\r\nmine")
				}
				p.requireSound(t, line+fmt.Sprintf(format, "!#$%&'*+-.^_`|~09azAZ")+"\r\nmine", status)
			})
		}
	}
	for field, value := range map[string]string{"Content-Length": "4", "Transfer-Encoding": "chunked", "Connection": "close"} {
		t.Run(field, func(t *testing.T) {
			t.Parallel()
			p := newRawPeer(t, 0)
			for _, bad := range rawhttp.MalformedNames(field) {
				line := "HTTP/1.1 200 X\r\n" + bad + ": " + value + "\r\n"
				for _, body := range []string{"mine", "4\r\nmine\r\n0\r\n\r\n"} {
					p.requireLost(t, line+"\r\n"+body)
					p.requireLost(t, line+other+"\r\n"+body)
				}
			}
		})
	}
}

// TestMalformedHeaderIsNoResponse sends malformed headers in one part and in parts of each size, as they may arrive.
func TestMalformedHeaderIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, piece := range []int{0, 1, 7, 1000} {
		t.Run(strconv.Itoa(piece), func(t *testing.T) {
			t.Parallel()
			p := newRawPeer(t, piece)
			for name, response := range rawhttp.Malformed("200 OK", "X-Sound: v\r\n", "mine") {
				t.Run(name, func(t *testing.T) { p.requireLost(t, response) })
			}
		})
	}
}

// TestSoundHeaderIsAResponse guards against a check that refuses more than the grammar does.
func TestSoundHeaderIsAResponse(t *testing.T) {
	t.Parallel()
	large := func(n int) string { return "X-Large: " + strings.Repeat("x", n) + "\r\n" }
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
	for _, piece := range []int{0, 1, 1000} {
		t.Run(strconv.Itoa(piece), func(t *testing.T) {
			t.Parallel()
			p := newRawPeer(t, piece)
			for _, fields := range []string{
				"", "X-A: a b\tc\r\n", "X-A:v\r\n", "X-A:\r\n", "X-A: \t v \t\r\n", "X-A: v: w\r\n", "X-A: \xe9\xff\r\n", "X-A: v\nX-B: v\r\n",
				"X-A:   \r\nX-A:v\r\n", "x_a.b: v\r\n", large(5 << 10), large(12 << 10), strings.Repeat("X-Line: v\r\n", 1000),
			} {
				for _, status := range []int{200, 503} {
					line := fmt.Sprint(status, " X")
					p.requireSound(t, rawhttp.Sound(line, fields, "mine"), status)
					p.requireSound(t, interim+interim+rawhttp.Sound(line, fields, "mine"), status)
					p.requireSound(t, rawhttp.Chunked(line, fields, "mine", ""), status)
					p.requireSound(t, "HTTP/1.1 "+line+"\r\n"+fields+"\r\nmine", status)
				}
			}
		})
	}
}

// TestMalformedTrailersEndNoBody sends trailers whose field names are no tokens, and sound ones.
func TestMalformedTrailersEndNoBody(t *testing.T) {
	t.Parallel()
	for _, piece := range []int{0, 1, 7, 1000} {
		t.Run(strconv.Itoa(piece), func(t *testing.T) {
			t.Parallel()
			p := newRawPeer(t, piece)
			for _, status := range []int{200, 503} {
				line := fmt.Sprint(status, " X")
				for name, response := range rawhttp.MalformedTrailers(line, "X-Sound: v\r\n", "mine") {
					t.Run(name, func(t *testing.T) { p.requireLost(t, response) })
				}
				for _, trailers := range []string{"", "X-T: v\r\n", "X-T: a b\r\nX-T:\r\n", "X-T: v\nX-U: v\r\n", "X-T: " + strings.Repeat("x", 5<<10) + "\r\n"} {
					p.requireSound(t, rawhttp.Chunked(line, "", "mine", trailers), status)
				}
			}
		})
	}
}

// TestBodyInChunksIsCompleteOnlyAfterItsTrailers closes the connection in order after every byte of a response.
func TestBodyInChunksIsCompleteOnlyAfterItsTrailers(t *testing.T) {
	t.Parallel()
	p := newRawPeer(t, 0)
	for _, trailers := range []string{"", "X-T: v\r\n"} {
		response := rawhttp.Chunked("200 OK", "X-Sound: v\r\n", "mine", trailers)
		for cut := 1; cut < len(response); cut++ {
			p.requireLost(t, response[:cut])
		}
	}
}

// TestMalformedChunksEndNoBody guards against a reader of streamed chunks that accepts more than the one of whole bodies.
func TestMalformedChunksEndNoBody(t *testing.T) {
	t.Parallel()
	p := newRawPeer(t, 0)
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, chunks := range []string{
		"4\nmine\r\n0\r\n\r\n", "+4\r\nmine\r\n0\r\n\r\n", "-4\r\nmine\r\n0\r\n\r\n", " 4\r\nmine\r\n0\r\n\r\n", "0x4\r\nmine\r\n0\r\n\r\n", "4 5\r\nmine\r\n0\r\n\r\n",
		"4;a\nb\r\nmine\r\n0\r\n\r\n", "\r\nmine\r\n0\r\n\r\n", "g\r\nmine\r\n0\r\n\r\n", "10000000000000004\r\nmine\r\n0\r\n\r\n", "4\r\nmineX\r\n0\r\n\r\n", "4\r\nmine\n0\r\n\r\n",
		"4\r\nmine\r0\r\n\r\n", "4\r\nmine\r\n0\n\r\n", "4\r\nmine\r\n0\r\n\n", "5\r\nmine\r\n0\r\n\r\n", "4\r\nmine\r\n\r\n\r\n", "ffffffffffffffff\r\nmine\r\n0\r\n\r\n",
	} {
		p.requireLost(t, head+chunks)
	}
	for _, chunks := range []string{"4\r\nmine\r\n0\r\n\r\n", "4;a=b;c\r\nmine\r\n0;d\r\n\r\n", "0004\r\nmine\r\n000\r\n\r\n", "1\r\nm\r\n3 \r\nine\r\n0\r\n\r\n"} {
		p.requireSound(t, head+chunks, http.StatusOK)
	}
}

// TestMalformedStatusLineIsNoResponse sends status lines of other protocols, and reasons with control bytes.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	t.Parallel()
	p := newRawPeer(t, 0)
	const rest = "\r\nContent-Length: 4\r\n\r\nmine"
	for _, line := range []string{
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 503 Busy", "http/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 \x01", "HTTP/1.1 200 OK\x7f", "HTTP/1.1 503 Bu\rsy",
		"HTTP/1.1\t200 OK", "HTTP/1.1 200\x01", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1200 OK", " HTTP/1.1 200 OK", "HTTP/1.1",
	} {
		p.requireLost(t, line+rest)
		p.requireLost(t, "HTTP/1.1 100 Continue\r\n\r\n"+line+rest)
	}
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 a\tb", "HTTP/1.1 200 \xe9\xff"} {
		p.requireSound(t, line+rest, http.StatusOK)
	}
}

// TestResponseWithTwoFramingsIsNoResponse states the end of a body in two ways, or in chunks by HTTP/1.0, which has none.
func TestResponseWithTwoFramingsIsNoResponse(t *testing.T) {
	t.Parallel()
	p := newRawPeer(t, 0)
	const (
		chunked = "Transfer-Encoding: chunked\r\n"
		length  = "Content-Length: 4\r\n"
		chunks  = "4\r\nmine\r\n0\r\n\r\n"
	)
	for _, fields := range []string{chunked + length, length + chunked, "X-A: v\r\ncontent-length: 19\r\nX-B: v\r\ntransfer-encoding: Chunked\r\n", chunked + "Content-Length: 0\r\n"} {
		for _, status := range []string{"200 OK", "503 Busy", "204 No Content", "304 Not Modified"} {
			p.requireLost(t, "HTTP/1.1 "+status+"\r\n"+fields+"\r\n"+chunks)
		}
		p.requireLost(t, "HTTP/1.0 200 OK\r\n"+fields+"\r\n"+chunks)
	}
	p.requireLost(t, "HTTP/1.0 200 OK\r\n"+chunked+"\r\n"+chunks)
	p.requireLost(t, "HTTP/1.1 200 OK\r\n"+length+length+"\r\nmine")
	p.requireLost(t, "HTTP/1.1 200 OK\r\n"+chunked+chunked+"\r\n"+chunks)
	p.requireSound(t, "HTTP/1.1 200 OK\r\nX-Content-Length: 9\r\nTrailer: X-T\r\n"+chunked+"\r\n"+chunks, http.StatusOK)
	p.requireSound(t, "HTTP/1.0 200 OK\r\n"+length+"\r\nmine", http.StatusOK)
}

// TestControlByteInAFieldValueIsNoResponse sends values with each control byte.
func TestControlByteInAFieldValueIsNoResponse(t *testing.T) {
	t.Parallel()
	p := newRawPeer(t, 0)
	for b := range 0x80 {
		response := rawhttp.Sound("200 OK", "X-A: v"+string([]byte{byte(b)})+"w\r\n", "mine")
		if b >= ' ' && b != 0x7f || b == '\t' {
			p.requireSound(t, response, http.StatusOK)
			continue
		}
		p.requireLost(t, response)
	}
}
