package openai

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// The API paths of model requests.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	ModelsPath      = "/v1/models"
)

// bytesPerToken is the assumed number of prompt bytes for one token.
const bytesPerToken = 4

// FieldError says which field of a request is wrong and what is allowed.
type FieldError struct {
	Field   string
	Allowed string
}

// Error describes the fault.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: allowed is %s", e.Field, e.Allowed)
}

// ErrNotJSON says that the body is no JSON object.
var ErrNotJSON = eris.New("body is not a JSON object")

// Request is one parsed model request; unknown fields are passed on as they came.
type Request struct {
	path      string
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	prompt    string
	maxTokens int
	size      int
	options   streamOptions
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParseRequest reads a model request; the body may be reused afterwards.
func ParseRequest(path string, body []byte) (Request, error) {
	r := Request{
		path: path,
		size: len(body),
	}
	if err := json.Unmarshal(append([]byte(nil), body...), &r.fields); err != nil {
		return r, fmt.Errorf("%w: %w", ErrNotJSON, err)
	}
	if err := r.parseFields(); err != nil {
		return r, err
	}
	if path == ChatPath {
		return r, r.parseMessages()
	}
	return r, r.field("prompt", "a string", &r.prompt)
}

// Path returns the API path of the request.
func (r Request) Path() string { return r.path }

// Model returns the requested model.
func (r Request) Model() string { return r.model }

// Stream reports whether the caller wants server-sent events.
func (r Request) Stream() bool { return r.stream }

// WantsUsage reports whether the caller of a stream asked for its usage.
func (r Request) WantsUsage() bool { return r.options.IncludeUsage }

// Prompt returns the whole prompt as text.
func (r Request) Prompt() string { return r.prompt }

// MaxTokens returns the caller's bound on output tokens; zero where none is given.
func (r Request) MaxTokens() int { return r.maxTokens }

// Size returns the size of the request's body in bytes.
func (r Request) Size() int { return r.size }

// PromptTokens returns the estimated number of prompt tokens.
func (r Request) PromptTokens() int {
	return len(r.prompt)/bytesPerToken + 1
}

// Delivered is the part of an answer that the caller has or will get.
type Delivered struct {
	Text   string
	Tokens int
}

// EngineBody returns the request for an engine: streamed, with usage, and going on after what was delivered.
func (r Request) EngineBody(delivered Delivered) ([]byte, error) {
	out := make(map[string]json.RawMessage, len(r.fields)+4)
	for name, value := range r.fields {
		out[name] = value
	}
	out["stream"] = json.RawMessage("true")
	out["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if delivered.Text != "" {
		if err := r.continueAfter(out, delivered.Text); err != nil {
			return nil, err
		}
		r.limitTokens(out, delivered.Tokens)
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode engine request: %w", err)
	}
	return body, nil
}

// limitTokens takes the delivered tokens off the caller's bound.
func (r Request) limitTokens(out map[string]json.RawMessage, delivered int) {
	for _, name := range maxTokensFields() {
		if _, ok := out[name]; ok {
			out[name] = json.RawMessage(strconv.Itoa(r.maxTokens - delivered))
		}
	}
}

// Exhausted reports whether the delivered tokens reach the caller's bound.
func (r Request) Exhausted(delivered Delivered) bool {
	return r.maxTokens > 0 && delivered.Tokens >= r.maxTokens
}

func maxTokensFields() []string {
	return []string{"max_tokens", "max_completion_tokens"}
}

// continueAfter makes the engine go on after a partial answer.
func (r Request) continueAfter(out map[string]json.RawMessage, delivered string) error {
	if r.path != ChatPath {
		prompt, err := json.Marshal(r.prompt + delivered)
		if err != nil {
			return fmt.Errorf("encode continued prompt: %w", err)
		}
		out["prompt"] = prompt
		return nil
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(r.fields["messages"], &messages); err != nil {
		return fmt.Errorf("decode messages: %w", err)
	}
	content, err := json.Marshal(delivered)
	if err != nil {
		return fmt.Errorf("encode partial answer: %w", err)
	}
	partial, err := json.Marshal(message{
		Role:    "assistant",
		Content: content,
	})
	if err != nil {
		return fmt.Errorf("encode partial message: %w", err)
	}
	all, err := json.Marshal(append(messages, partial))
	if err != nil {
		return fmt.Errorf("encode continued messages: %w", err)
	}
	out["messages"] = all
	out["continue_final_message"] = json.RawMessage("true")
	out["add_generation_prompt"] = json.RawMessage("false")
	return nil
}

func (r *Request) parseFields() error {
	if err := r.field("model", "a string", &r.model); err != nil {
		return err
	}
	if r.model == "" {
		return &FieldError{
			Field:   "model",
			Allowed: "the name of a model that is served",
		}
	}
	if err := r.field("stream", "true or false", &r.stream); err != nil {
		return err
	}
	if err := r.field("stream_options", "an object", &r.options); err != nil {
		return err
	}
	choices := 1
	if err := r.field("n", "1", &choices); err != nil {
		return err
	}
	if choices != 1 {
		return &FieldError{
			Field:   "n",
			Allowed: "1",
		}
	}
	for _, name := range maxTokensFields() {
		if err := r.field(name, "a whole number from 0", &r.maxTokens); err != nil {
			return err
		}
	}
	if r.maxTokens < 0 {
		return &FieldError{
			Field:   "max_tokens",
			Allowed: "a whole number from 0",
		}
	}
	return nil
}

func (r *Request) parseMessages() error {
	var messages []message
	if err := r.field("messages", "a list of messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return &FieldError{
			Field:   "messages",
			Allowed: "at least one message",
		}
	}
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(contentText(m.Content))
		prompt.WriteByte('\n')
	}
	r.prompt = prompt.String()
	return nil
}

// contentText returns the text of a message, which is a string or a list of parts.
func contentText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	var parts []contentPart
	if json.Unmarshal(content, &parts) != nil {
		return string(content)
	}
	var all strings.Builder
	for _, p := range parts {
		all.WriteString(p.Text)
	}
	return all.String()
}

// field decodes an optional field.
func (r *Request) field(name, allowed string, into any) error {
	raw, ok := r.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %w", &FieldError{
			Field:   name,
			Allowed: allowed,
		}, err)
	}
	return nil
}
