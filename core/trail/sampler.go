package trail

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// wholePerSecond is the number of requests a second up to which all are kept: seven of the largest fleet's entries
	// take as many together at its peak.
	wholePerSecond = 50
	// mostPerSecond bounds the requests that are kept in a second of a sudden burst.
	mostPerSecond = 4 * wholePerSecond
	// maxLevel bounds how often the share is halved; one in 65,536 is left then.
	maxLevel = 16
)

// sampler keeps whole all requests of a quiet second. Above wholePerSecond it halves the share of those it keeps until
// it fits, by the low bits of the ID's hash, so that the requests kept by a busy process are among those of a quiet one.
type sampler struct {
	mu     sync.Mutex
	second int64
	seen   int
	kept   int
	level  uint
}

// keep reports whether a request that went well is kept.
func (s *sampler) keep(now time.Time, id waxwingpick.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		if second != s.second+1 {
			// Nothing arrived in the second before this one.
			s.seen = 0
		}
		s.level = levelOf(s.seen)
		s.second, s.seen, s.kept = second, 0, 0
	}
	s.seen++
	// A burst halves the share within the second.
	s.level = max(s.level, uint(s.kept/wholePerSecond))
	if s.kept >= mostPerSecond || xxhash.Sum64String(string(id))&(1<<s.level-1) != 0 {
		return false
	}
	s.kept++
	return true
}

// levelOf returns how often the share is halved at a number of requests a second.
func levelOf(perSecond int) uint {
	level := uint(0)
	for level < maxLevel && perSecond>>level > wholePerSecond {
		level++
	}
	return level
}
