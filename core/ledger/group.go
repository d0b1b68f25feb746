package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// maxGroupSize bounds a record with new claims, in bytes; updates, which are larger for their answers, stop at half of it.
	maxGroupSize = 512 << 10
)

// groupRecord holds the claims of one bucket and shard, so that one write commits several. It is
// written as JSON lines, the last of a hash counts, so that a write appends and encodes nothing anew.
type groupRecord struct {
	claims map[string]groupClaim
	lines  []byte
}

// groupClaim is one line of a record; Revision rises by one with each write of the claim.
type groupClaim struct {
	Hash     string          `json:"hash"`
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// groupWrite is a compare-and-swap of one claim in a record.
type groupWrite struct {
	hash     string
	expected int64
	value    []byte
}

// groupPath returns the record that holds the claim of a key path; ok is false for paths that are not grouped.
func groupPath(path string) (record, hash string, ok bool) {
	rest, ok := strings.CutPrefix(path, issuedPrefix)
	if !ok {
		return "", "", false
	}
	bucket, hash, ok := strings.Cut(rest, "/")
	if !ok {
		return "", "", false
	}
	return fmt.Sprintf("%s%s/%02d", issuedPrefix, bucket, shardOf(hash)), hash, true
}

// shardOf returns the shard of a claim's hash.
func shardOf(hash string) int {
	return int(xxhash.Sum64String(hash) % ClaimShards)
}

func decodeGroup(value []byte) (*groupRecord, error) {
	r := &groupRecord{
		claims: make(map[string]groupClaim),
		lines:  slices.Clone(value),
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	for decoder.More() {
		var c groupClaim
		if err := decoder.Decode(&c); err != nil {
			return nil, fmt.Errorf("decode claims: %w", err)
		}
		r.claims[c.Hash] = c
	}
	return r, nil
}

// entry returns a claim as the key-value port shows it.
func (r *groupRecord) entry(path, hash string) waxwingpick.Entry {
	c := r.claims[hash]
	return waxwingpick.Entry{
		Key:      path,
		Value:    c.Value,
		Revision: c.Revision,
	}
}

// apply adds a write to the record or tells why it has no effect.
func (r *groupRecord) apply(w groupWrite) error {
	held := r.claims[w.hash]
	size := len(r.lines) + len(w.value)
	switch {
	case held.Revision != w.expected:
		return waxwingpick.ErrConflict
	case size > maxGroupSize || held.Revision > 0 && size > maxGroupSize/2:
		return fmt.Errorf("record of claims is full: %w", waxwingpick.ErrUnavailable)
	}
	c := groupClaim{
		Hash:     w.hash,
		Revision: held.Revision + 1,
		Value:    w.value,
	}
	line, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	r.claims[w.hash] = c
	r.lines = append(append(r.lines, line...), '\n')
	return nil
}
