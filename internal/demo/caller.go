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

// doneMarker ends a whole stream.
const doneMarker = "[DONE]"

// ErrCut says that an answer ended without its regular end and without an explicit failure.
var ErrCut = eris.New("answer was cut")

// ProblemError is a problem that an entry answered with.
type ProblemError struct {
	problem openai.Problem
}

// Error describes the problem.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("status %d, outcome %s, reason %s: %s", e.problem.Status, e.problem.Outcome, e.problem.Reason, e.problem.Detail)
}

// Problem returns the problem.
func (e *ProblemError) Problem() openai.Problem { return e.problem }

// Caller sends requests to entries as a caller's program would.
type Caller struct {
	http      *http.Client
	scheme    string
	workspace string
}

// CallerOption sets one property of a caller.
type CallerOption func(c *Caller, transport *http.Transport)

// OverTLS has the caller talk to entries over TLS.
func OverTLS(cfg *tls.Config) CallerOption {
	return func(c *Caller, transport *http.Transport) {
		c.scheme = "https://"
		transport.TLSClientConfig = cfg
	}
}

// NewCaller returns a caller of a workspace.
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

// ChatResult is a whole answer.
type ChatResult struct {
	Text  string
	First time.Duration
	Total time.Duration
	// Pause is the longest time between two chunks.
	Pause time.Duration
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

// Chat asks one question and returns the streamed answer; a failure is a *ProblemError, ErrCut or a lost connection.
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
	var before time.Time
	for event, err := range sse.Read(r, nil) {
		whole := result.Total > 0
		if whole && err != nil {
			// The answer is whole; only its connection can't be used again.
			break
		}
		if whole {
			return result, fmt.Errorf("event after the end: %w", ErrCut)
		}
		if err != nil {
			return result, fmt.Errorf("read stream: %w: %w", ErrCut, err)
		}
		if event.Type == "error" {
			return result, parseProblem([]byte(event.Data))
		}
		if event.Data == doneMarker {
			result.Text = text.String()
			result.Total = time.Since(started)
			// The rest is read, so that the connection can be used again.
			continue
		}
		chunk, err := openai.ParseChunk([]byte(event.Data))
		if err != nil {
			return result, err
		}
		now := time.Now()
		if text.Len() == 0 {
			result.First = now.Sub(started)
			before = now
		}
		result.Pause = max(result.Pause, now.Sub(before))
		before = now
		text.WriteString(chunk.Text())
	}
	if result.Total > 0 {
		return result, nil
	}
	return result, ErrCut
}

// Call sends a request to a plain service through an entry and returns the answer's body.
func (c *Caller) Call(ctx context.Context, entry, service, method, path string, body []byte, idempotencyKey string) ([]byte, error) {
	resp, err := c.send(ctx, method, c.scheme+entry+"/services/"+service+path, body, idempotencyKey)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return answer, nil
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read problem: %w", err)
	}
	return nil, parseProblem(answer)
}

func parseProblem(data []byte) error {
	e := &ProblemError{}
	if err := json.Unmarshal(data, &e.problem); err != nil {
		return fmt.Errorf("decode problem %q: %w", data, err)
	}
	return e
}
