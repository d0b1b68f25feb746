package placement

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// chain returns a key for each part of a prompt, which identifies it together with all parts before it and the model, and
// the parts' sizes.
func chain(p waxwingpick.Prompt) (keys []uint64, tokens []int) {
	keys = make([]uint64, 0, len(p.Parts))
	tokens = make([]int, 0, len(p.Parts))
	digest := xxhash.New()
	// Writing to a digest never fails.
	_, _ = digest.WriteString(p.Model)
	for _, part := range p.Parts {
		_, _ = digest.WriteString("/" + part.ID)
		keys = append(keys, digest.Sum64())
		tokens = append(tokens, part.Tokens)
	}
	return keys, tokens
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
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		order:    list.New(),
		entries:  make(map[uint64]*list.Element),
	}
}

// held returns the tokens of a prompt's beginning that the engine keeps.
func (c *cache) held(keys []uint64, tokens []int) int {
	held := 0
	for i, key := range keys {
		if _, ok := c.entries[key]; !ok {
			break
		}
		held += tokens[i]
	}
	return held
}

// use notes that the engine reads or uses a prompt's parts.
func (c *cache) use(keys []uint64, tokens []int) {
	// A part is of no use without those before it, so the first ones are kept longest.
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.entries[keys[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[keys[i]] = c.order.PushFront(cached{
			key:    keys[i],
			tokens: max(0, tokens[i]),
		})
		c.used += max(0, tokens[i])
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(cached)
		delete(c.entries, oldest.key)
		c.used -= oldest.tokens
	}
}
