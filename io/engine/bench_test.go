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

// benchResponse returns a response body of benchEvents chunks and the last event.
func benchResponse(b *testing.B) []byte {
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

func reportTimePerEvent(b *testing.B) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchEvents, "ns/event")
}

// BenchmarkEventsFromMemory reads a response of 1,000 events from memory.
func BenchmarkEventsFromMemory(b *testing.B) {
	raw := benchResponse(b)
	b.ReportAllocs()
	for b.Loop() {
		drainEvents(b, newEventStream(memoryBody{reader: bytes.NewReader(raw)}, 0, defaultMaxEvent))
	}
	reportTimePerEvent(b)
}

// serveResponse serves the response and writes one event at a time, as an engine does. It returns the address.
func serveResponse(b *testing.B) string {
	raw := benchResponse(b)
	ln := listenLoopback(b)
	srv := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyStream(&eventReader{raw: raw}, -1)
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

// eventReader returns one event for each Read.
type eventReader struct {
	raw []byte
}

func (p *eventReader) Read(buf []byte) (int, error) {
	if len(p.raw) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, p.raw[:bytes.Index(p.raw, []byte("\n\n"))+2])
	p.raw = p.raw[n:]
	return n, nil
}

// BenchmarkStreamLoopback streams 1,000 events through the client, with one TCP write for each event.
func BenchmarkStreamLoopback(b *testing.B) {
	c, err := New(serveResponse(b))
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
	reportTimePerEvent(b)
}

// BenchmarkRawLoopback reads the same bytes with fasthttp alone and does not parse them.
func BenchmarkRawLoopback(b *testing.B) {
	addr := serveResponse(b)
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
	reportTimePerEvent(b)
}

func listenLoopback(b *testing.B) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return ln
}
