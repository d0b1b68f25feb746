package placement

import (
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// mostTokens is the longest prompt that is told apart from longer ones; it is some twenty times what engines remember.
const mostTokens = 1 << 23

// within returns a figure that callers or other processes tell, at least zero and at most a bound.
func within[N int | int64](told, most N) N {
	return max(0, min(most, told))
}

// Parts are a prompt's parts: a key for each, which identifies it together with all parts before it and the model, and
// their sizes. Sizes are within bounds, whatever a caller says.
type Parts struct {
	keys   []uint64
	tokens []int
	// prompt is the length of the whole prompt in tokens.
	prompt int
}

// PartsOf returns the parts of a prompt.
func PartsOf(p waxwingpick.Prompt) Parts {
	parts := Parts{
		keys:   make([]uint64, 0, len(p.Parts)),
		tokens: make([]int, 0, len(p.Parts)),
		prompt: within(p.Tokens, mostTokens),
	}
	rest := parts.prompt
	digest := xxhash.New()
	// Writing to a digest never fails.
	_, _ = digest.WriteString(p.Model)
	for _, part := range p.Parts {
		_, _ = digest.WriteString("/" + part.ID)
		parts.keys = append(parts.keys, digest.Sum64())
		size := within(part.Tokens, rest)
		rest -= size
		parts.tokens = append(parts.tokens, size)
	}
	return parts
}

// cache estimates which parts an engine keeps, from what was sent there: the least recently used ones yield.
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

// held returns the tokens of a prompt's beginning that the engine keeps.
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

// heldSince returns the tokens of a prompt's beginning that the engine keeps since a time.
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

// use notes that the engine reads or uses a prompt's parts.
func (c *cache) use(now time.Time, p Parts) {
	// A part is of no use without those before it, so the first ones are kept longest.
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
