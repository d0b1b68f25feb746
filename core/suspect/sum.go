package suspect

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sum returns a hash over the records that have not expired, independent of their order, or zero if there are none.
// Processes with equal sums need not exchange records.
func (s *Set) Sum(now time.Time) uint64 {
	var sum uint64
	for _, r := range s.Records(now) {
		sum ^= r.sum()
	}
	return sum
}

func (r Record) sum() uint64 {
	buffer := binary.BigEndian.AppendUint64(nil, uint64(r.Fingerprint))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(r.Lifted.UnixNano()))
	for _, c := range r.Crashes {
		buffer = append(buffer, c.ID...)
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(c.At.UnixNano()))
	}
	return xxhash.Sum64(buffer)
}
