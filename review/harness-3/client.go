package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// connectTimeout is how long clients wait for a connection, and readWait how long for an idempotent request to be answered in part
// before they give the attempt up.
const connectTimeout = time.Second

// kind is a kind of request.
type kind struct {
	name     string
	method   string
	path     string
	deadline time.Duration
	body     string
	// tokens is the prompt of a model request in tokens; zero for other requests.
	tokens int
	// repeatable means that clients may send the request again after any failure.
	repeatable bool
	// perSecond is the rate of the sheet.
	perSecond float64
}

var (
	seasonReplan = kind{
		name:      "season-replan",
		method:    http.MethodPost,
		path:      replanPath,
		deadline:  replanDeadline,
		body:      strings.Repeat("class history ", 2400),
		tokens:    17020,
		perSecond: 16.7,
	}
	teacherQuery = kind{
		name:       "teacher-query",
		method:     http.MethodPost,
		path:       queryPath,
		deadline:   queryDeadline,
		body:       "who swapped Tuesday salsa",
		tokens:     383,
		repeatable: true,
		perSecond:  185,
	}
	bookingCommit = kind{
		name:      "booking-commit",
		method:    http.MethodPost,
		path:      bookingPath,
		deadline:  bookingDeadline,
		body:      "a trial booking with its deposit",
		perSecond: 50.5,
	}
	rosterRead = kind{
		name:       "roster-read",
		method:     http.MethodGet,
		path:       rosterPath,
		deadline:   rosterDeadline,
		repeatable: true,
		perSecond:  20.2,
	}
)

// requestIDs numbers the attempts of all clients.
var requestIDs atomic.Uint64

func nextID() string {
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+requestIDs.Add(1))
}

// encode returns the bytes of a request.
func (k kind) encode(id string, deadline time.Duration) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nWaxwingpick-Request-Id: %s\r\nWaxwingpick-Deadline-Ms: %d\r\n", k.method, k.path, host, id, deadline.Milliseconds())
	if k.tokens > 0 {
		shared := k.tokens / 4
		head += fmt.Sprintf("Waxwingpick-Model-Name: m\r\nWaxwingpick-Token-Counts: %d,42\r\nWaxwingpick-Prompt-Prefix: 5c1e07a2:%d,e%s:%d\r\n", k.tokens, shared, id, k.tokens-shared)
	}
	if k.body != "" || k.method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(k.body)) + "\r\n"
	}
	return head + "\r\n" + k.body
}

// answer is what a client got for one attempt.
type answer struct {
	id     string
	kind   string
	status int
	body   string
	header http.Header
	// err is set if there is no complete answer.
	err       error
	connected bool
	took      time.Duration
}

// String describes the answer in a few words.
func (a answer) String() string {
	switch {
	case !a.connected:
		return "no connection"
	case errors.Is(a.err, os.ErrDeadlineExceeded) && a.status == 0:
		return "no answer before the deadline"
	case a.err != nil && a.status == 0:
		return "connection ended without an answer"
	case a.err != nil:
		return strconv.Itoa(a.status) + " cut"
	}
	return strconv.Itoa(a.status)
}

// conn is a client's connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &conn{
		Conn:   c,
		reader: bufio.NewReader(c),
	}, nil
}

// do sends one request and reads its answer.
func (c *conn) do(k kind, deadline time.Duration) answer {
	began := time.Now()
	a := answer{
		id:        nextID(),
		kind:      k.name,
		connected: true,
	}
	_ = c.SetDeadline(began.Add(deadline))
	defer func() { a.took = time.Since(began) }()
	if _, a.err = io.WriteString(c, k.encode(a.id, max(time.Millisecond, deadline))); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{
		Method: k.method,
	})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

// once sends one request on a new connection, which it closes afterwards.
func once(addr string, k kind) answer {
	c, err := dial(addr)
	if err != nil {
		return answer{
			kind: k.name,
			err:  err,
		}
	}
	defer c.Close()
	return c.do(k, k.deadline)
}
