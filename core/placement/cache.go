package placement

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// prefixKey identifies a part of a prompt together with all parts before it and the model.
type prefixKey uint64

// chain returns the keys of a prompt's parts in order.
func chain(p waxwingpick.Prompt) []prefixKey {
	keys := make([]prefixKey, 0, len(p.Parts))
	digest := xxhash.New()
	// Writing to a digest never fails.
	_, _ = digest.WriteString(p.Model)
	for _, part := range p.Parts {
		_, _ = digest.WriteString("/" + part.ID)
		keys = append(keys, prefixKey(digest.Sum64()))
	}
	return keys
}

// cache estimates which parts an engine keeps, from what was sent there: the least recently used ones yield.
type cache struct {
	capacity int
	used     int
	order    *list.List
	entries  map[prefixKey]*list.Element
}

type cached struct {
	key    prefixKey
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		order:    list.New(),
		entries:  make(map[prefixKey]*list.Element),
	}
}

// held returns the tokens of a prompt's beginning that the engine keeps.
func (c *cache) held(keys []prefixKey, parts []waxwingpick.PromptPart) int {
	tokens := 0
	for i, key := range keys {
		if _, ok := c.entries[key]; !ok {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// use notes that the engine reads or uses a prompt's parts.
func (c *cache) use(keys []prefixKey, parts []waxwingpick.PromptPart) {
	// A part is of no use without those before it, so the first ones are kept longest.
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.entries[keys[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[keys[i]] = c.order.PushFront(cached{
			key:    keys[i],
			tokens: parts[i].Tokens,
		})
		c.used += parts[i].Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(cached)
		delete(c.entries, oldest.key)
		c.used -= oldest.tokens
	}
}
