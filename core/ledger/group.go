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
	// maxGroupSize is the maximum size of a record after a new claim is added, in bytes. Updates stop at half of it, because
	// they are larger: they include the response.
	maxGroupSize = 512 << 10
)

// groupRecord holds the claims of one bucket and shard, so that one write commits several. The format is JSON lines, and
// the last line of a hash is the valid one, so a write only appends and encodes no other claim again.
type groupRecord struct {
	claims map[string]groupClaim
	lines  []byte
}

// groupClaim is one line of a record. Revision increases by one with each write of the claim.
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

// groupPath returns the path of the record that holds the claim at path. Result ok is false for paths that are not grouped.
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

// entry returns a claim in the form of the key-value port.
func (r *groupRecord) entry(path, hash string) waxwingpick.Entry {
	c := r.claims[hash]
	return waxwingpick.Entry{
		Key:      path,
		Value:    c.Value,
		Revision: c.Revision,
	}
}

// apply adds a write to the record, or returns an error if the claim's revision differs or the record is full.
func (r *groupRecord) apply(w groupWrite) error {
	current := r.claims[w.hash]
	size := len(r.lines) + len(w.value)
	switch {
	case current.Revision != w.expected:
		return waxwingpick.ErrConflict
	case size > maxGroupSize || current.Revision > 0 && size > maxGroupSize/2:
		return fmt.Errorf("record of claims is full: %w", waxwingpick.ErrUnavailable)
	}
	c := groupClaim{
		Hash:     w.hash,
		Revision: current.Revision + 1,
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
