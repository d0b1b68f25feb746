package ledger

import (
	"encoding/binary"
	"fmt"
	"slices"
)

const (
	tombstonePrefix = KeyPrefix + "tombstones/"
	// tombstoneSize is the size of one key's fingerprint in a page, in bytes.
	tombstoneSize = 8
	// maxTombstones is the maximum number of tombstones in the page of one shard.
	maxTombstones = 8192
)

// tombstonePage is the sorted list of the fingerprints of opaque keys whose claims were removed.
type tombstonePage []byte

func (p tombstonePage) len() int {
	return len(p) / tombstoneSize
}

func (p tombstonePage) at(i int) uint64 {
	return binary.BigEndian.Uint64(p[i*tombstoneSize:])
}

func (p tombstonePage) full() bool {
	return p.len() >= maxTombstones
}

func (p tombstonePage) has(fingerprint uint64) bool {
	for low, high := 0, p.len(); low < high; {
		middle := (low + high) / 2
		switch found := p.at(middle); {
		case found == fingerprint:
			return true
		case found < fingerprint:
			low = middle + 1
		default:
			high = middle
		}
	}
	return false
}

// with returns a page that also holds the given fingerprints.
func (p tombstonePage) with(fingerprints ...uint64) tombstonePage {
	all := slices.Clone(fingerprints)
	for i := range p.len() {
		all = append(all, p.at(i))
	}
	slices.Sort(all)
	all = slices.Compact(all)
	page := make(tombstonePage, 0, len(all)*tombstoneSize)
	for _, fingerprint := range all {
		page = binary.BigEndian.AppendUint64(page, fingerprint)
	}
	return page
}

func tombstonePath(shard int) string {
	return fmt.Sprintf("%s%03x", tombstonePrefix, shard)
}

func (k Key) tombstonePath() string {
	return tombstonePath(k.shard())
}
