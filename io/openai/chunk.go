package openai

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-json"
)

// Chunk is one chunk of a streamed response. Choices are forwarded as the engine sent them.
type Chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// Choice is the part of a chunk that belongs to one choice.
type Choice struct {
	Index        int             `json:"index"`
	Delta        *Delta          `json:"delta,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Delta is a fragment of a chat message.
type Delta struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content,omitempty"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// ToolCall is a fragment of a call to one of the caller's tools. Fragments with the same index form one call.
type ToolCall struct {
	Index    int      `json:"index"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function Function `json:"function"`
}

// Function is the function that a tool call names. Arguments is a fragment of JSON text.
type Function struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments,omitempty"`
}

// ParseChunk decodes a chunk from an engine.
func ParseChunk(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("decode chunk: %w", err)
	}
	return c, nil
}

// marshalChunk encodes a chunk for a caller.
func marshalChunk(c Chunk) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	return data, nil
}

// Text returns the text of all choices in the chunk.
func (c Chunk) Text() string {
	var text strings.Builder
	for _, choice := range c.Choices {
		if choice.Delta != nil {
			text.WriteString(choice.Delta.Content)
		}
		if choice.Text != nil {
			text.WriteString(*choice.Text)
		}
	}
	return text.String()
}

// usage holds the token counts from the usage field of a chunk.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// PromptTokens returns the number of prompt tokens, and whether the chunk reports it.
func (c Chunk) PromptTokens() (int, bool) {
	var u usage
	if json.Unmarshal(c.Usage, &u) != nil || u.PromptTokens == 0 {
		return 0, false
	}
	return u.PromptTokens, true
}

// Tokens returns the number of output tokens up to and including this chunk, and whether the chunk reports it.
func (c Chunk) Tokens() (int, bool) {
	var u usage
	if json.Unmarshal(c.Usage, &u) != nil || u.CompletionTokens == 0 {
		return 0, false
	}
	return u.CompletionTokens, true
}

// LengthLimitChunk returns the encoded last chunk of a response that reached the caller's token limit.
func LengthLimitChunk(path, model string) ([]byte, error) {
	reason := "length"
	choice := Choice{
		FinishReason: &reason,
	}
	object := "text_completion"
	if path == ChatPath {
		object = "chat.completion.chunk"
		choice.Delta = &Delta{}
	}
	data, err := json.Marshal(Chunk{
		Object:  object,
		Model:   model,
		Choices: []Choice{choice},
	})
	if err != nil {
		return nil, fmt.Errorf("encode last chunk: %w", err)
	}
	return data, nil
}

// response is a complete response that is not streamed.
type response struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// Assembler joins the chunks of a stream into one response.
type Assembler struct {
	first     Chunk
	started   bool
	text      strings.Builder
	toolCalls []ToolCall
	finish    *string
	usage     json.RawMessage
}

// Add appends the next chunk.
func (a *Assembler) Add(c Chunk) {
	if !a.started {
		a.first = c
		a.started = true
	}
	a.text.WriteString(c.Text())
	if c.Usage != nil && string(c.Usage) != "null" {
		a.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			a.finish = choice.FinishReason
		}
		if choice.Delta != nil {
			a.addToolCalls(choice.Delta.ToolCalls)
		}
	}
}

// addToolCalls appends the fragments to the tool calls with the same index.
func (a *Assembler) addToolCalls(fragments []ToolCall) {
	for _, fragment := range fragments {
		i := slices.IndexFunc(a.toolCalls, func(existing ToolCall) bool {
			return existing.Index == fragment.Index
		})
		if i < 0 {
			a.toolCalls = append(a.toolCalls, fragment)
			continue
		}
		existing := &a.toolCalls[i]
		existing.ID += fragment.ID
		existing.Function.Name += fragment.Function.Name
		existing.Function.Arguments += fragment.Function.Arguments
	}
}

// Response returns the encoded response in the format of the API path.
func (a *Assembler) Response(path string) ([]byte, error) {
	choice := responseChoice{
		FinishReason: a.finish,
	}
	object := "text_completion"
	text := a.text.String()
	if path == ChatPath {
		object = "chat.completion"
		choice.Message = &responseMessage{
			Role:      "assistant",
			Content:   text,
			ToolCalls: a.toolCalls,
		}
	} else {
		choice.Text = &text
	}
	body, err := json.Marshal(response{
		ID:      a.first.ID,
		Object:  object,
		Created: a.first.Created,
		Model:   a.first.Model,
		Choices: []responseChoice{choice},
		Usage:   a.usage,
	})
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return body, nil
}
