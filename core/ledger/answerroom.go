package ledger

import "sync/atomic"

// answerRoom is the bytes that all of a guard's shards share for answers, kept ones and those still to come.
type answerRoom struct {
	bound int64
	used  atomic.Int64
}

// reserve takes bytes if they are free.
func (r *answerRoom) reserve(bytes int) bool {
	for {
		used := r.used.Load()
		if used+int64(bytes) > r.bound {
			return false
		}
		if r.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

func (r *answerRoom) release(bytes int) {
	r.used.Add(-int64(bytes))
}

// fits reports whether bytes are free now.
func (r *answerRoom) fits(bytes int) bool {
	return r.used.Load()+int64(bytes) <= r.bound
}
