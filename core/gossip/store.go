package gossip

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// keptRevisions is the number of earlier revisions of a record that are kept as bases of deltas.
const keptRevisions = 2

// version is one accepted revision of a record.
type version struct {
	revision int64
	body     []byte
}

// Store holds the newest received revision of each record. It is not safe for concurrent use.
type Store struct {
	validate func(key string, body []byte) error
	versions map[string][]version
	sum      uint64
	codec    *codec
	// encoded caches the compressed forms of the newest revision of each record by their base revision.
	encoded map[string]map[int64]waxwingpick.RecordBody
}

// NewStore returns an empty store. Bodies from other processes are rejected if validate returns an error.
func NewStore(validate func(key string, body []byte) error) (*Store, error) {
	c, err := sharedCodec()
	if err != nil {
		return nil, err
	}
	return &Store{
		validate: validate,
		versions: make(map[string][]version),
		codec:    c,
		encoded:  make(map[string]map[int64]waxwingpick.RecordBody),
	}, nil
}

// Get returns the newest body of a record, which must not be modified, and its revision, which is zero if there is
// none.
func (s *Store) Get(key string) ([]byte, int64) {
	v := s.newest(key)
	return v.body, v.revision
}

// Accept stores a revision that the key-value service returned, and reports whether it is newer than the stored one.
func (s *Store) Accept(key string, revision int64, body []byte) bool {
	if revision <= s.newest(key).revision {
		return false
	}
	kept := s.versions[key]
	kept = kept[max(0, len(kept)-keptRevisions):]
	s.versions[key] = append(slices.Clone(kept), version{
		revision: revision,
		body:     body,
	})
	s.encoded[key] = make(map[int64]waxwingpick.RecordBody)
	s.sum = s.computeSum()
	return true
}

// Sum returns a hash over the stored revisions. Processes with equal records have equal sums.
func (s *Store) Sum() uint64 {
	return s.sum
}

// Digest lists the stored revisions in key order.
func (s *Store) Digest() []waxwingpick.RecordRevision {
	digest := make([]waxwingpick.RecordRevision, 0, len(s.versions))
	for _, key := range slices.Sorted(maps.Keys(s.versions)) {
		digest = append(digest, waxwingpick.RecordRevision{
			Key:      key,
			Revision: s.newest(key).revision,
		})
	}
	return digest
}

// compare returns the records that are older at another process, and those that are newer there. Both lists contain the
// older revision.
func (s *Store) compare(other []waxwingpick.RecordRevision) (behind, ahead []waxwingpick.RecordRevision) {
	otherRevisions := make(map[string]int64, len(other))
	for _, o := range other {
		otherRevisions[o.Key] = max(otherRevisions[o.Key], o.Revision)
	}
	for _, stored := range s.Digest() {
		if otherRevisions[stored.Key] < stored.Revision {
			behind = append(behind, waxwingpick.RecordRevision{
				Key:      stored.Key,
				Revision: otherRevisions[stored.Key],
			})
		}
	}
	for key, revision := range otherRevisions {
		held := s.newest(key).revision
		if held < revision {
			ahead = append(ahead, waxwingpick.RecordRevision{
				Key:      key,
				Revision: held,
			})
		}
	}
	slices.SortFunc(ahead, func(a, b waxwingpick.RecordRevision) int {
		return cmp.Compare(a.Key, b.Key)
	})
	return behind, ahead
}

func (s *Store) newest(key string) version {
	kept := s.versions[key]
	if len(kept) == 0 {
		return version{}
	}
	return kept[len(kept)-1]
}

func (s *Store) at(key string, revision int64) (version, bool) {
	for _, v := range s.versions[key] {
		if v.revision == revision {
			return v, true
		}
	}
	return version{}, false
}

func (s *Store) computeSum() uint64 {
	d := xxhash.New()
	var number [8]byte
	for _, r := range s.Digest() {
		binary.BigEndian.PutUint64(number[:], uint64(r.Revision))
		// Writes to a hash never fail.
		_, _ = d.WriteString(r.Key)
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}
