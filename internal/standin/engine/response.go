package engine

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of an answer whose request names none, in tokens.
const DefaultMaxTokens = 16

var answerSuffix = regexp.MustCompile(`(?: ~[0-9a-f]{8})*$`)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that a chat request's messages amount to.
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

// Answer returns the tokens that every engine generates for a prompt; DefaultMaxTokens of them where maxTokens is 0.
func Answer(prompt string, maxTokens int) []string {
	return answerFrom(prompt, 0, maxTokens)
}

// CountTokens returns the number of tokens of a text.
func CountTokens(text string) int {
	return len(strings.Fields(text))
}

func answerFrom(prompt string, first, maxTokens int) []string {
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

// splitContinuation takes a partial answer off the end of a completion prompt.
func splitContinuation(text string) (prompt string, delivered int) {
	at := answerSuffix.FindStringIndex(text)[0]
	n, ok := deliveredTokens(text[:at], text[at:])
	if !ok {
		return text, 0
	}
	return text[:at], n
}

// deliveredTokens counts the tokens of a partial answer; ok is false for a foreign one.
func deliveredTokens(prompt, partial string) (n int, ok bool) {
	n = CountTokens(partial)
	if n == 0 {
		return 0, partial == ""
	}
	return n, strings.Join(Answer(prompt, n), "") == partial
}
