package virtual

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
)

// blockCache is an engine's prefix cache: bounded, with least-recently-used eviction.
type blockCache struct {
	// lru maps each block to its last use.
	lru *simplelru.LRU[uint64, time.Time]
}

func newBlockCache(size int) *blockCache {
	l, err := simplelru.NewLRU[uint64, time.Time](max(1, size), nil)
	if err != nil {
		panic(err)
	}
	return &blockCache{
		lru: l,
	}
}

// match returns the number of leading blocks that are cached, and marks them as used.
func (c *blockCache) match(now time.Time, prefix []uint64) int {
	for i, block := range prefix {
		if _, ok := c.lru.Get(block); !ok {
			return i
		}
		c.lru.Add(block, now)
	}
	return len(prefix)
}

func (c *blockCache) add(now time.Time, prefix []uint64) {
	for _, block := range prefix {
		c.lru.Add(block, now)
	}
}

// hottest returns the n most recently used blocks as cache events, each with the time of its last use.
func (c *blockCache) hottest(n int) []waxwingpick.CacheEvent {
	blocks := c.lru.Keys()
	blocks = blocks[max(0, len(blocks)-n):]
	events := make([]waxwingpick.CacheEvent, 0, len(blocks))
	for _, block := range blocks {
		at, _ := c.lru.Peek(block)
		events = append(events, waxwingpick.CacheEvent{
			Block: block,
			Held:  true,
			At:    at,
		})
	}
	return events
}
