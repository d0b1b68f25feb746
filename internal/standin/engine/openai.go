package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

var errBadRequest = eris.New("bad request")

// generateRequest has the fields of OpenAI chat and completion requests that the stand-in supports.
type generateRequest struct {
	Model                string    `json:"model"`
	Messages             []Message `json:"messages"`
	Prompt               string    `json:"prompt"`
	MaxTokens            int       `json:"max_tokens"`
	MaxCompletionTokens  int       `json:"max_completion_tokens"`
	Stream               bool      `json:"stream"`
	Priority             int       `json:"priority"`
	ContinueFinalMessage bool      `json:"continue_final_message"`
	AddGenerationPrompt  *bool     `json:"add_generation_prompt"`
	KVHandle             string    `json:"kv_handle"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

type modelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// errorBody is the error format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// NotRun states that the request has not run and will not run.
	NotRun bool `json:"notRun"`
}

// parseRequest parses a request into a stream that is not yet submitted.
func (e *Engine) parseRequest(id string, chat bool, body []byte) (*stream, generateRequest, error) {
	var req generateRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, req, fmt.Errorf("%w: %s", errBadRequest, err.Error())
	}
	prompt, delivered, err := promptOf(req, chat)
	if err != nil {
		return nil, req, err
	}
	maxTokens := req.MaxTokens
	if req.MaxCompletionTokens > 0 {
		maxTokens = req.MaxCompletionTokens
	}
	tokens := tokensFrom(prompt, delivered, maxTokens)
	s := &stream{
		id:        id,
		chat:      chat,
		model:     req.Model,
		prompt:    prompt,
		promptLen: CountTokens(prompt) + delivered,
		delivered: delivered,
		tokens:    tokens,
		urgency:   req.Priority,
		crashes:   e.cfg.crashMarker != "" && strings.Contains(prompt, e.cfg.crashMarker),
	}
	s.kvBlocks = e.blocksFor(s.promptLen + len(tokens))
	return s, req, nil
}

func promptOf(req generateRequest, chat bool) (string, int, error) {
	if !chat {
		prompt, delivered := splitContinuation(req.Prompt)
		return prompt, delivered, nil
	}
	if len(req.Messages) == 0 {
		return "", 0, fmt.Errorf("%w: no messages", errBadRequest)
	}
	last := len(req.Messages) - 1
	if !req.ContinueFinalMessage {
		return ChatPrompt(req.Messages), 0, nil
	}
	prompt := ChatPrompt(req.Messages[:last])
	delivered, ok := deliveredTokens(prompt, req.Messages[last].Content)
	if !ok {
		return "", 0, errForeignContinuation
	}
	return prompt, delivered, nil
}

var errForeignContinuation = fmt.Errorf("%w: the final message is not the beginning of the response to this prompt", errBadRequest)

// chunk returns the JSON of an event.
func (s *stream) chunk(offset int) []byte {
	var finish *string
	if offset == len(s.tokens)-1 {
		reason := "length"
		finish = &reason
	}
	c := choice{
		FinishReason: finish,
	}
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
		c.Delta = &Message{
			Role:    "assistant",
			Content: s.tokens[offset],
		}
	} else {
		c.Text = &s.tokens[offset]
	}
	return s.encode(object, c)
}

// response returns the JSON of the response to a request without streaming.
func (s *stream) response() []byte {
	reason := "length"
	text := strings.Join(s.tokens, "")
	c := choice{
		FinishReason: &reason,
	}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		c.Message = &Message{
			Role:    "assistant",
			Content: text,
		}
	} else {
		c.Text = &text
	}
	return s.encode(object, c)
}

func (s *stream) encode(object string, c choice) []byte {
	// Strings and numbers always encode.
	data, _ := json.Marshal(chunk{
		ID:      s.id,
		Object:  object,
		Model:   s.model,
		Choices: []choice{c},
	})
	return data
}
