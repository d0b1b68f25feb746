package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// slowPart and slowPause are the size of the parts that a slow client sends, in bytes, and the time between them.
	slowPart  = 1 << 15
	slowPause = 10 * time.Millisecond
	// exchangeTimeout bounds a request and its response.
	exchangeTimeout = time.Minute
)

// SendThenRead sends a request completely before it reads the response, whose status it returns after it has read the body. It
// fails if the connection breaks before. A slow client pauses between parts of the request.
func SendThenRead(addr, raw string, slow bool) (status int, err error) {
	resp, _, err := Exchange(addr, raw, slow)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Exchange does what SendThenRead does, and returns the response with its body, which is closed.
func Exchange(addr, raw string, slow bool) (*http.Response, []byte, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, fmt.Errorf("connect: %w", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return nil, nil, fmt.Errorf("set deadline: %w", err)
	}
	part := len(raw)
	if slow {
		part = slowPart
	}
	for rest := raw; len(rest) > 0; {
		n := min(part, len(rest))
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			return nil, nil, fmt.Errorf("send request: %w", err)
		}
		rest = rest[n:]
		if slow {
			time.Sleep(slowPause)
		}
	}
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, nil, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, nil, fmt.Errorf("read body: %w", err)
		}
		return resp, body, nil
	}
}
