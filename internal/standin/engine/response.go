package engine

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of a response, in tokens, where the request sets no maximum.
const DefaultMaxTokens = 16

var responseSuffix = regexp.MustCompile(`(?: ~[0-9a-f]{8})*$`)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt for the messages of a chat request.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// ResponseTokens returns the first maxTokens tokens that every engine generates for a prompt, or DefaultMaxTokens where
// maxTokens is 0.
func ResponseTokens(prompt string, maxTokens int) []string {
	return tokensFrom(prompt, 0, maxTokens)
}

// CountTokens returns the number of tokens in a text.
func CountTokens(text string) int {
	return len(strings.Fields(text))
}

func tokensFrom(prompt string, first, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	seed := xxhash.Sum64String(prompt)
	tokens := make([]string, maxTokens)
	var key [16]byte
	for i := range tokens {
		binary.LittleEndian.PutUint64(key[:8], seed)
		binary.LittleEndian.PutUint64(key[8:], uint64(first+i))
		tokens[i] = fmt.Sprintf(" ~%08x", uint32(xxhash.Sum64(key[:])))
	}
	return tokens
}

// splitContinuation removes a partial response from the end of a completion prompt and returns its length in tokens.
func splitContinuation(text string) (prompt string, delivered int) {
	at := responseSuffix.FindStringIndex(text)[0]
	n, ok := deliveredTokens(text[:at], text[at:])
	if !ok {
		return text, 0
	}
	return text[:at], n
}

// deliveredTokens counts the tokens of a partial response. ok is false for one that belongs to another prompt.
func deliveredTokens(prompt, partial string) (n int, ok bool) {
	n = CountTokens(partial)
	if n == 0 {
		return 0, partial == ""
	}
	return n, strings.Join(ResponseTokens(prompt, n), "") == partial
}
