package routing

import (
	"math"
	"time"
)

// hintCount bounds the remembered prefix blocks; it is a power of two.
const hintCount = 4096

// hint says that a target was sent, or reported, a prefix block.
type hint struct {
	block  uint64
	target int32
	at     time.Time
}

// hints remembers which target holds which prefix block; newer hints push out older ones of the same place.
type hints struct {
	table [hintCount]hint
}

func (h *hints) set(block uint64, target int32, at time.Time) {
	place := &h.table[block%hintCount]
	if place.at.After(at) {
		return
	}
	*place = hint{
		block:  block,
		target: target,
		at:     at,
	}
}

func (h *hints) drop(block uint64, target int32, at time.Time) {
	place := &h.table[block%hintCount]
	if place.block == block && place.target == target && !place.at.After(at) {
		*place = hint{}
	}
}

// longest returns the target of the longest remembered prefix, its number of blocks and the belief in it.
func (h *hints) longest(now time.Time, prefix []uint64, halfLife time.Duration) (target int32, blocks int, belief float64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		place := &h.table[prefix[i]%hintCount]
		if place.block != prefix[i] || place.at.IsZero() {
			continue
		}
		belief := math.Exp2(-now.Sub(place.at).Seconds() / halfLife.Seconds())
		return place.target, i + 1, min(1, belief)
	}
	return none, 0, 0
}

// move rewrites the target numbers and forgets targets that are gone.
func (h *hints) move(moved []int32) {
	for i := range h.table {
		place := &h.table[i]
		if place.at.IsZero() {
			continue
		}
		if moved[place.target] == none {
			*place = hint{}
			continue
		}
		place.target = moved[place.target]
	}
}
