package engine

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
)

const (
	// BlockWords is the length of a prefix block in words.
	BlockWords = 16

	maxCacheEvents = 4096
)

// Blocks returns the XXH64 hashes of the prefixes of a prompt that end with a full block.
func Blocks(prompt string) []uint64 {
	var blocks []uint64
	words := 0
	inWord := false
	for i := range len(prompt) {
		space := strings.IndexByte(" \n\t\r", prompt[i]) >= 0
		if space && inWord {
			words++
			if words%BlockWords == 0 {
				blocks = append(blocks, xxhash.Sum64String(prompt[:i]))
			}
		}
		inWord = !space
	}
	return blocks
}

// prefixCache caches the prefix blocks of prompts, and the events of its changes.
type prefixCache struct {
	blocks   *simplelru.LRU[uint64, struct{}]
	events   []waxwingpick.CacheEvent
	sequence int64
	now      time.Time
}

func (c *prefixCache) reset(blocks int) {
	// NewLRU fails only for a size that is not positive.
	c.blocks, _ = simplelru.NewLRU(blocks, c.onEvict)
}

func (c *prefixCache) onEvict(block uint64, _ struct{}) {
	c.publish(block, false)
}

// cachedTokens returns the number of leading tokens of the prompt that are cached.
func (c *prefixCache) cachedTokens(prompt string) int {
	n := 0
	for _, b := range Blocks(prompt) {
		if _, ok := c.blocks.Get(b); !ok {
			break
		}
		n++
	}
	return n * BlockWords
}

func (c *prefixCache) add(prompt string, now time.Time) {
	c.now = now
	for _, b := range Blocks(prompt) {
		if c.blocks.Contains(b) {
			continue
		}
		c.blocks.Add(b, struct{}{})
		c.publish(b, true)
	}
}

func (c *prefixCache) publish(block uint64, held bool) {
	c.sequence++
	c.events = append(c.events, waxwingpick.CacheEvent{
		Sequence: c.sequence,
		Block:    block,
		Held:     held,
		At:       c.now,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// cacheEvents returns the published events after a sequence number, with the delay and the gaps that the faults set.
func (e *Engine) cacheEvents(after int64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := e.now().Add(-e.faults.CacheEventLag.Std())
	out := CacheEvents{
		BootID: e.bootID,
		Events: []waxwingpick.CacheEvent{},
	}
	for _, event := range e.cache.events {
		if event.Sequence <= after || event.At.After(cutoff) {
			continue
		}
		every := e.faults.CacheEventGap
		if every > 0 && event.Sequence%every == 0 {
			continue
		}
		out.Events = append(out.Events, event)
	}
	return out
}
