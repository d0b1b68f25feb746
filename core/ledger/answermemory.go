package ledger

import "sync/atomic"

// answerMemory counts the bytes that a guard's shards use for stored responses and reserve for pending ones.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve takes bytes if that many are free.
func (r *answerMemory) reserve(bytes int) bool {
	for {
		used := r.used.Load()
		if used+int64(bytes) > r.limit {
			return false
		}
		if r.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

func (r *answerMemory) release(bytes int) {
	r.used.Add(-int64(bytes))
}

// fits reports whether that many bytes are free at present.
func (r *answerMemory) fits(bytes int) bool {
	return r.used.Load()+int64(bytes) <= r.limit
}
