package routing

import (
	"math"
	"time"
)

// hintCount is the size of the hint table, a power of two.
const hintCount = 4096

// hint records that a target was sent a prefix block or reported to hold it.
type hint struct {
	block  uint64
	target int32
	at     time.Time
}

// hints maps prefix blocks to the targets that hold them. The table is direct-mapped: a newer hint replaces an older
// one with the same index.
type hints struct {
	table [hintCount]hint
}

func (h *hints) set(block uint64, target int32, at time.Time) {
	entry := &h.table[block%hintCount]
	if entry.at.After(at) {
		return
	}
	*entry = hint{
		block:  block,
		target: target,
		at:     at,
	}
}

func (h *hints) drop(block uint64, target int32, at time.Time) {
	entry := &h.table[block%hintCount]
	if entry.block == block && entry.target == target && !entry.at.After(at) {
		*entry = hint{}
	}
}

// longest returns the target of the longest prefix that has a hint, its number of blocks and the confidence in it,
// which decays from 1 with the half-life.
func (h *hints) longest(now time.Time, prefix []uint64, halfLife time.Duration) (target int32, blocks int, confidence float64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		entry := &h.table[prefix[i]%hintCount]
		if entry.block != prefix[i] || entry.at.IsZero() {
			continue
		}
		confidence := math.Exp2(-now.Sub(entry.at).Seconds() / halfLife.Seconds())
		return entry.target, i + 1, min(1, confidence)
	}
	return none, 0, 0
}

// move applies new target indices and drops the hints of removed targets.
func (h *hints) move(moved []int32) {
	for i := range h.table {
		entry := &h.table[i]
		if entry.at.IsZero() {
			continue
		}
		if moved[entry.target] == none {
			*entry = hint{}
			continue
		}
		entry.target = moved[entry.target]
	}
}
