package placement

import (
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// maxTokens is the prompt length above which lengths are not distinguished, about twenty times an engine's KV cache.
const maxTokens = 1 << 23

// clamp limits a number from a caller or another process to the range from 0 to limit.
func clamp[N int | int64](n, limit N) N {
	return max(0, min(limit, n))
}

// Parts holds the segments of a prompt. Each key is a hash of the model, the segment and all segments before it. Sizes
// are clamped, whatever a caller reports.
type Parts struct {
	keys   []uint64
	tokens []int
	// prompt is the length of the entire prompt in tokens.
	prompt int
}

// PartsOf returns the segments of a prompt.
func PartsOf(p waxwingpick.Prompt) Parts {
	parts := Parts{
		keys:   make([]uint64, 0, len(p.Parts)),
		tokens: make([]int, 0, len(p.Parts)),
		prompt: clamp(p.Tokens, maxTokens),
	}
	rest := parts.prompt
	digest := xxhash.New()
	// Writes to the digest never fail.
	_, _ = digest.WriteString(p.Model)
	for _, part := range p.Parts {
		_, _ = digest.WriteString("/" + part.ID)
		parts.keys = append(parts.keys, digest.Sum64())
		size := clamp(part.Tokens, rest)
		rest -= size
		parts.tokens = append(parts.tokens, size)
	}
	return parts
}

// cache estimates which prompt segments an engine holds from the requests sent there, with LRU eviction.
type cache struct {
	capacity int
	used     int
	order    *list.List
	entries  map[uint64]*list.Element
}

type cached struct {
	key    uint64
	tokens int
	since  time.Time
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		order:    list.New(),
		entries:  make(map[uint64]*list.Element),
	}
}

// held returns the length in tokens of the longest cached prefix of a prompt.
func (c *cache) held(p Parts) int {
	held := 0
	for i, key := range p.keys {
		if _, ok := c.entries[key]; !ok {
			break
		}
		held += p.tokens[i]
	}
	return held
}

// heldSince returns the length in tokens of the longest prefix that has been cached since a time or longer.
func (c *cache) heldSince(since time.Time, p Parts) int {
	held := 0
	for i, key := range p.keys {
		e, ok := c.entries[key]
		if !ok || e.Value.(cached).since.After(since) {
			break
		}
		held += p.tokens[i]
	}
	return held
}

// use records that the engine computes or uses the segments of a prompt.
func (c *cache) use(now time.Time, p Parts) {
	// A segment is useless without those before it, so the first ones are marked as the most recently used.
	for i, key := range slices.Backward(p.keys) {
		if e, ok := c.entries[key]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[key] = c.order.PushFront(cached{
			key:    key,
			tokens: p.tokens[i],
			since:  now,
		})
		c.used += p.tokens[i]
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(cached)
		delete(c.entries, oldest.key)
		c.used -= oldest.tokens
	}
}
