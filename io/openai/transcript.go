package openai

import "slices"

// Transcript is what an answer's chunks say, for an engine that continues the answer; its zero value is empty.
type Transcript struct {
	text   []byte
	tokens int
}

// Add takes the next chunk.
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

// Clone returns a copy that takes chunks of its own.
func (t *Transcript) Clone() Transcript {
	return Transcript{
		text:   slices.Clone(t.text),
		tokens: t.tokens,
	}
}

// Delivered returns the part of the answer that an engine is to continue.
func (t *Transcript) Delivered() Delivered {
	return Delivered{
		Text:   string(t.text),
		Tokens: t.tokens,
	}
}
