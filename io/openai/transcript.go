package openai

import "slices"

// Transcript collects the text and the token count of a response, so that another engine can continue it. The zero
// value is empty.
type Transcript struct {
	text   []byte
	tokens int
}

// Add appends the next chunk.
func (t *Transcript) Add(c Chunk) {
	text := c.Text()
	if text == "" {
		return
	}
	t.text = append(t.text, text...)
	t.tokens++
	if n, ok := c.Tokens(); ok {
		t.tokens = max(t.tokens, n)
	}
}

// Clone returns an independent copy.
func (t *Transcript) Clone() Transcript {
	return Transcript{
		text:   slices.Clone(t.text),
		tokens: t.tokens,
	}
}

// Delivered returns the part of the response after which an engine is to continue.
func (t *Transcript) Delivered() Delivered {
	return Delivered{
		Text:   string(t.text),
		Tokens: t.tokens,
	}
}
