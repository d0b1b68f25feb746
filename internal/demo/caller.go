package demo

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"waxwingpick/io/openai"
)

// doneMarker is the last event of a complete stream.
const doneMarker = "[DONE]"

// ErrTruncated reports a response that ended early and without an explicit failure.
var ErrTruncated = eris.New("response was truncated")

// ProblemError is an error response of an entry, in the form of RFC 9457.
type ProblemError struct {
	problem openai.Problem
}

// Error implements error.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("status %d, outcome %s, reason %s: %s", e.problem.Status, e.problem.Outcome, e.problem.Reason, e.problem.Detail)
}

// Problem returns the decoded body of the response.
func (e *ProblemError) Problem() openai.Problem { return e.problem }

// Caller is an HTTP client of entries that sends requests for one workspace.
type Caller struct {
	http      *http.Client
	scheme    string
	workspace string
}

// CallerOption configures a caller.
type CallerOption func(c *Caller, transport *http.Transport)

// OverTLS makes the caller connect to entries over TLS.
func OverTLS(cfg *tls.Config) CallerOption {
	return func(c *Caller, transport *http.Transport) {
		c.scheme = "https://"
		transport.TLSClientConfig = cfg
	}
}

// NewCaller returns a caller that sends requests for a workspace.
func NewCaller(workspace string, opts ...CallerOption) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	c := &Caller{
		http: &http.Client{
			Transport: transport,
		},
		scheme:    "http://",
		workspace: workspace,
	}
	for _, opt := range opts {
		opt(c, transport)
	}
	return c
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.http.CloseIdleConnections()
}

// ChatResult is a complete chat response and its latencies, which count from the sending of the request.
type ChatResult struct {
	Text       string
	FirstToken time.Duration
	Total      time.Duration
	// MaxGap is the maximum time between two chunks.
	MaxGap time.Duration
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat sends a chat request with one user message and reads the streamed response. It returns a *ProblemError for an
// error response and ErrTruncated for a truncated stream.
func (c *Caller) Chat(ctx context.Context, entry, model, question string, maxTokens int) (ChatResult, error) {
	body, err := json.Marshal(chatRequest{
		Model: model,
		Messages: []chatMessage{{
			Role:    "user",
			Content: question,
		}},
		MaxTokens: maxTokens,
		Stream:    true,
	})
	if err != nil {
		return ChatResult{}, fmt.Errorf("encode chat request: %w", err)
	}
	started := time.Now()
	resp, err := c.send(ctx, http.MethodPost, c.scheme+entry+openai.ChatPath, body, "")
	if err != nil {
		return ChatResult{}, err
	}
	defer resp.Body.Close()
	return readStream(resp.Body, started)
}

func readStream(r io.Reader, started time.Time) (ChatResult, error) {
	var result ChatResult
	var text strings.Builder
	var lastChunk time.Time
	for event, err := range sse.Read(r, nil) {
		complete := result.Total > 0
		if complete && err != nil {
			// The response is complete, but its connection can't be reused.
			break
		}
		if complete {
			return result, fmt.Errorf("event after the end of the stream: %w", ErrTruncated)
		}
		if err != nil {
			return result, fmt.Errorf("read stream: %w: %w", ErrTruncated, err)
		}
		if event.Type == "error" {
			return result, parseProblem([]byte(event.Data))
		}
		if event.Data == doneMarker {
			result.Text = text.String()
			result.Total = time.Since(started)
			// Reads to the end of the body, so that the connection can be reused.
			continue
		}
		chunk, err := openai.ParseChunk([]byte(event.Data))
		if err != nil {
			return result, err
		}
		now := time.Now()
		if text.Len() == 0 {
			result.FirstToken = now.Sub(started)
			lastChunk = now
		}
		result.MaxGap = max(result.MaxGap, now.Sub(lastChunk))
		lastChunk = now
		text.WriteString(chunk.Text())
	}
	if result.Total > 0 {
		return result, nil
	}
	return result, ErrTruncated
}

// Call sends a request to a plain service through an entry and returns the body of the response. An empty
// idempotencyKey sends no such header.
func (c *Caller) Call(ctx context.Context, entry, service, method, path string, body []byte, idempotencyKey string) ([]byte, error) {
	resp, err := c.send(ctx, method, c.scheme+entry+"/services/"+service+path, body, idempotencyKey)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	return data, nil
}

func (c *Caller) send(ctx context.Context, method, url string, body []byte, idempotencyKey string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("OpenAI-Project", c.workspace)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read problem: %w", err)
	}
	return nil, parseProblem(data)
}

func parseProblem(data []byte) error {
	e := &ProblemError{}
	if err := json.Unmarshal(data, &e.problem); err != nil {
		return fmt.Errorf("decode problem %q: %w", data, err)
	}
	return e
}
