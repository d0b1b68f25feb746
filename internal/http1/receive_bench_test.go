package http1

import (
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// repeated is a connection on which the same response arrives again and again.
type repeated struct {
	net.Conn
	response string
	rest     string
}

func (r *repeated) Read(p []byte) (int, error) {
	if r.rest == "" {
		r.rest = r.response
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// BenchmarkReceive reads responses of targets from memory.
func BenchmarkReceive(b *testing.B) {
	const fields = "HTTP/1.1 200 OK\r\nWaxwingpick-Request-Id: 9c41d07be2a35f68\r\nWaxwingpick-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Waxwingpick-Instance-Load: 3,0,8\r\nKeep-Alive: timeout=5\r\nDate: Mon, 07 Dec 2026 15:00:00 GMT\r\nContent-Type: text/plain\r\n"
	for name, response := range map[string]string{
		"length": fields + "Content-Length: 16\r\n\r\n0123456789abcdef",
		"chunks": fields + "Transfer-Encoding: chunked\r\n\r\n8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n",
	} {
		for _, stream := range []bool{false, true} {
			mode := "/whole"
			if stream {
				mode = "/stream"
			}
			b.Run(name+mode, func(b *testing.B) {
				c := newConn(&repeated{
					response: response,
				})
				resp := fasthttp.AcquireResponse()
				defer fasthttp.ReleaseResponse(resp)
				b.ReportAllocs()
				for b.Loop() {
					resp.StreamBody = stream
					if err := c.receive(resp, 1<<10); err != nil {
						b.Fatal(err)
					}
					if stream {
						if _, err := io.Copy(io.Discard, resp.BodyStream()); err != nil {
							b.Fatal(err)
						}
						_ = resp.CloseBodyStream()
					}
				}
			})
		}
	}
}
