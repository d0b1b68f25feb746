package rawhttp

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"waxwingpick"
)

// maxDrawnBytes bounds the arbitrary bodies of drawn messages, in bytes.
const maxDrawnBytes = 300

// Message is an HTTP/1.1 message whose media type, encoding and framing a server or a client might interpret, whether or not its
// body corresponds to them.
type Message struct {
	// Fields are the end-to-end fields of the header.
	Fields []waxwingpick.Header
	Body   string
	// framing is the rest of the header, and content the body in that framing.
	framing string
	content string
}

// Request is a request as a caller writes it.
type Request struct {
	Message
	Method string
	URI    string
}

// Response is a response as a target writes it.
type Response struct {
	Message
	Status int
}

// Requests returns a generator of requests whose path begins with a prefix.
func Requests(prefix string) *rapid.Generator[Request] {
	return rapid.Custom(func(t *rapid.T) Request {
		return drawRequest(t, prefix)
	})
}

// Responses returns a generator of responses with a body.
func Responses() *rapid.Generator[Response] {
	return rapid.Custom(drawResponse)
}

func drawRequest(t *rapid.T, prefix string) Request {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{
		"a", "", ".", "..", "%2F", "%2e%2E", "%zz", "%", "a+b%20c", ";b=c", "|<\">^`{}", "~:@!$&'()*,=", "[1]", "%00", "\u00e9", "\xe9",
	}), 1, 4).Draw(t, "segments")
	r := Request{
		Message: drawMessage(t),
		Method:  rapid.SampledFrom([]string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}).Draw(t, "method"),
		URI: prefix + strings.Join(segments, "/") + rapid.SampledFrom([]string{
			"", "?", "??", "?a=b&&a=%26;c", "?/../x", "?q=%zz+%20|", "?a=http://b/?c",
		}).Draw(t, "query"),
	}
	r.addDrawn(t, "Accept-Encoding", "", "gzip", "identity;q=0")
	r.addDrawn(t, "Cookie", "", "a=b; c=\"d\"", "a")
	r.addDrawn(t, "Range", "", "bytes=0-1")
	r.addDrawn(t, "X-Own", "", "\u00e9", "\xe9", "a\tb  c")
	if rapid.Bool().Draw(t, "expect") {
		r.framing += "Expect: 100-continue\r\n"
	}
	return r
}

func drawResponse(t *rapid.T) Response {
	r := Response{
		Message: drawMessage(t),
		Status:  rapid.SampledFrom([]int{200, 201, 206, 302, 400, 404, 409, 418}).Draw(t, "status"),
	}
	r.addDrawn(t, "Location", "", "/../a?b=%2F#c", "http://b/")
	r.addDrawn(t, "Set-Cookie", "", "a=b; Path=/; SameSite=Lax", "a")
	r.addDrawn(t, "Vary", "", "Accept-Encoding")
	return r
}

// Encode returns the bytes of the request with further lines of the header, each of which ends with CRLF.
func (r Request) Encode(lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s", r.Method, r.URI, r.encode(lines))
}

// Encode returns the bytes of the response with further lines of the header, each of which ends with CRLF.
func (r Response) Encode(lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d Text\r\n%s", r.Status, r.encode(lines))
}

func (m Message) encode(lines string) string {
	var b strings.Builder
	b.WriteString(lines + m.framing)
	for _, f := range m.Fields {
		fmt.Fprintf(&b, "%s: %s\r\n", f.Name, f.Value)
	}
	return b.String() + "\r\n" + m.content
}

func drawMessage(t *rapid.T) Message {
	const form = "--x\r\nContent-Disposition: form-data; name=\"f\"; filename=\"b\"\r\nX-Own: 1\r\nContent-Type: image/png\r\n\r\n\x00\xff\r\n" +
		"--x\r\nContent-Disposition: form-data; name=\"a\"\r\nContent-Type: application/json\r\n\r\n{}\r\n--x--\r\n"
	arbitrary := string(rapid.SliceOfN(rapid.Byte(), 0, maxDrawnBytes).Draw(t, "bytes"))
	m := Message{
		Body: rapid.SampledFrom([]string{form, "b=1&a=%2f+%20&b=2&", Gzip(form), arbitrary}).Draw(t, "body"),
	}
	m.addDrawn(t, "Content-Type", "", "multipart/form-data; boundary=x", "Multipart/Form-Data;boundary=\"x\"", "multipart/mixed; boundary=x",
		"application/x-www-form-urlencoded", "text/event-stream", "application/json")
	m.addDrawn(t, "Content-Encoding", "", "gzip", "deflate", "br", "zstd", "identity", "gzip, br", "own")
	m.drawFraming(t)
	return m
}

// drawFraming draws how the end of the body is stated.
func (m *Message) drawFraming(t *rapid.T) {
	if !rapid.Bool().Draw(t, "chunks") {
		m.framing = fmt.Sprintf("Content-Length: %d\r\n", len(m.Body))
		m.content = m.Body
		return
	}
	m.framing = "Transfer-Encoding: chunked\r\n"
	extension := rapid.SampledFrom([]string{"", ";a=b"}).Draw(t, "extension")
	var b strings.Builder
	for rest := m.Body; len(rest) > 0; {
		n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, extension, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n")
	if rapid.Bool().Draw(t, "trailer") {
		m.framing += "Trailer: Checksum\r\n"
		b.WriteString("Checksum: 1\r\n")
	}
	m.content = b.String() + "\r\n"
}

// addDrawn adds a field with one of the values, unless that is empty.
func (m *Message) addDrawn(t *rapid.T, name string, values ...string) {
	if value := rapid.SampledFrom(values).Draw(t, name); value != "" {
		m.Fields = append(m.Fields, waxwingpick.Header{
			Name:  name,
			Value: value,
		})
	}
}

// Gzip returns a compressed text.
func Gzip(s string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// A buffer accepts every write.
	_, _ = w.Write([]byte(s))
	_ = w.Close()
	return b.String()
}
