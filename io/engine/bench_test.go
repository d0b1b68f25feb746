package engine

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"waxwingpick"
)

const benchEvents = 1000

// benchAnswer is an answer of benchEvents chunks with its last event.
func benchAnswer(b *testing.B) []byte {
	var raw bytes.Buffer
	for i := range benchEvents + 1 {
		data := fmt.Sprintf(`{"id":"s","object":"text_completion","created":0,"model":"m","choices":[{"index":0,"text":" ~%08x","finish_reason":null}]}`, i)
		if i == benchEvents {
			data = doneData
		}
		m := sse.Message{
			ID: sse.ID(strconv.Itoa(i)),
		}
		m.AppendData(data)
		_, err := m.WriteTo(&raw)
		require.NoError(b, err)
	}
	return raw.Bytes()
}

func drainEvents(b *testing.B, s waxwingpick.EventStream) {
	for {
		_, err := s.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	s.Close()
}

func perEvent(b *testing.B) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchEvents, "ns/event")
}

// BenchmarkEventsFromMemory reads an answer of 1,000 events that stands in memory.
func BenchmarkEventsFromMemory(b *testing.B) {
	raw := benchAnswer(b)
	b.ReportAllocs()
	for b.Loop() {
		drainEvents(b, newEventStream(memory{reader: bytes.NewReader(raw)}, 0, defaultMaxEvent))
	}
	perEvent(b)
}

// serveAnswer serves the answer in pieces of one event, as an engine does.
func serveAnswer(b *testing.B) string {
	raw := benchAnswer(b)
	ln := listenLoopback(b)
	srv := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyStream(&eventPieces{raw: raw}, -1)
		},
	}
	done := make(chan error, 1)
	go func() {
		done <- srv.Serve(ln)
	}()
	b.Cleanup(func() {
		require.NoError(b, srv.Shutdown())
		require.NoError(b, <-done)
	})
	return ln.Addr().String()
}

// eventPieces yields one event for each Read.
type eventPieces struct {
	raw []byte
}

func (p *eventPieces) Read(buf []byte) (int, error) {
	if len(p.raw) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, p.raw[:bytes.Index(p.raw, []byte("\n\n"))+2])
	p.raw = p.raw[n:]
	return n, nil
}

// BenchmarkStreamLoopback streams 1,000 events through the adapter, one TCP write each.
func BenchmarkStreamLoopback(b *testing.B) {
	c, err := New(serveAnswer(b))
	require.NoError(b, err)
	defer c.Close()
	req := waxwingpick.GenerateRequest{
		StreamID: "s",
		Path:     "/v1/completions",
		Body:     []byte(`{"prompt":"x","stream":true}`),
	}
	b.ReportAllocs()
	for b.Loop() {
		s, err := c.Generate(b.Context(), req)
		if err != nil {
			b.Fatal(err)
		}
		drainEvents(b, s)
	}
	perEvent(b)
}

// BenchmarkRawLoopback reads the same bytes by the bare library, without parsing.
func BenchmarkRawLoopback(b *testing.B) {
	addr := serveAnswer(b)
	host := &fasthttp.HostClient{
		Addr:               addr,
		StreamResponseBody: true,
	}
	defer host.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + addr + "/v1/completions")
		if err := host.Do(req, resp); err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.BodyStream()); err != nil {
			b.Fatal(err)
		}
		_ = resp.CloseBodyStream()
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
	perEvent(b)
}

func listenLoopback(b *testing.B) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return ln
}
