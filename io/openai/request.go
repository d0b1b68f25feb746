package openai

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Paths of the OpenAI-compatible API.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	ModelsPath      = "/v1/models"
)

// bytesPerToken is the assumed number of prompt bytes per token.
const bytesPerToken = 4

// FieldError reports an invalid field of a request and the allowed values.
type FieldError struct {
	Field   string
	Allowed string
}

// Error returns the field and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s must be %s", e.Field, e.Allowed)
}

// ErrNotJSON means that the request body is not a JSON object.
var ErrNotJSON = eris.New("body is not a JSON object")

// Request is a parsed model request. Unknown fields are forwarded unchanged.
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

// ParseRequest parses a model request. It does not retain the body. It fails with ErrNotJSON or a FieldError.
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
	return r, r.decodeField("prompt", "a string", &r.prompt)
}

// Path returns the API path.
func (r Request) Path() string { return r.path }

// Model returns the name of the requested model.
func (r Request) Model() string { return r.model }

// Stream reports whether the caller requested server-sent events.
func (r Request) Stream() bool { return r.stream }

// WantsUsage reports whether the caller requested usage in the stream.
func (r Request) WantsUsage() bool { return r.options.IncludeUsage }

// Prompt returns the prompt text. For a chat, it is the text of all messages with their roles.
func (r Request) Prompt() string { return r.prompt }

// MaxTokens returns the caller's limit on output tokens, or zero if there is none.
func (r Request) MaxTokens() int { return r.maxTokens }

// Size returns the size of the request body in bytes.
func (r Request) Size() int { return r.size }

// PromptTokens returns the estimated number of prompt tokens.
func (r Request) PromptTokens() int {
	return len(r.prompt)/bytesPerToken + 1
}

// Delivered is the part of a response that has been or will be sent to the caller.
type Delivered struct {
	Text   string
	Tokens int
}

// EngineBody returns the request body for an engine. It requests a stream with usage that continues after the delivered
// part of the response.
func (r Request) EngineBody(delivered Delivered) ([]byte, error) {
	out := make(map[string]json.RawMessage, len(r.fields)+4)
	for name, value := range r.fields {
		out[name] = value
	}
	out["stream"] = json.RawMessage("true")
	out["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if delivered.Text != "" {
		if err := r.appendDelivered(out, delivered.Text); err != nil {
			return nil, err
		}
		r.reduceMaxTokens(out, delivered.Tokens)
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode engine request: %w", err)
	}
	return body, nil
}

// reduceMaxTokens subtracts the delivered tokens from the caller's limit.
func (r Request) reduceMaxTokens(out map[string]json.RawMessage, delivered int) {
	for _, name := range maxTokensFields() {
		if _, ok := out[name]; ok {
			out[name] = json.RawMessage(strconv.Itoa(r.maxTokens - delivered))
		}
	}
}

// Exhausted reports whether the delivered tokens reach the caller's limit.
func (r Request) Exhausted(delivered Delivered) bool {
	return r.maxTokens > 0 && delivered.Tokens >= r.maxTokens
}

func maxTokensFields() []string {
	return []string{"max_tokens", "max_completion_tokens"}
}

// appendDelivered adds the delivered text to the prompt or the messages, so that the engine continues after it.
func (r Request) appendDelivered(out map[string]json.RawMessage, delivered string) error {
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
		return fmt.Errorf("encode partial response: %w", err)
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
	if err := r.decodeField("model", "a string", &r.model); err != nil {
		return err
	}
	if r.model == "" {
		return &FieldError{
			Field:   "model",
			Allowed: "the name of a served model",
		}
	}
	if err := r.decodeField("stream", "true or false", &r.stream); err != nil {
		return err
	}
	if err := r.decodeField("stream_options", "an object", &r.options); err != nil {
		return err
	}
	choices := 1
	if err := r.decodeField("n", "1", &choices); err != nil {
		return err
	}
	if choices != 1 {
		return &FieldError{
			Field:   "n",
			Allowed: "1",
		}
	}
	for _, name := range maxTokensFields() {
		if err := r.decodeField(name, "a non-negative integer", &r.maxTokens); err != nil {
			return err
		}
	}
	if r.maxTokens < 0 {
		return &FieldError{
			Field:   "max_tokens",
			Allowed: "a non-negative integer",
		}
	}
	return nil
}

func (r *Request) parseMessages() error {
	var messages []message
	if err := r.decodeField("messages", "a list of messages", &messages); err != nil {
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

// contentText returns the text of a message content, which is a string or a list of parts.
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

// decodeField decodes an optional field. It fails with a FieldError if the value has another type.
func (r *Request) decodeField(name, allowed string, into any) error {
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
