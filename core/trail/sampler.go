package trail

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// unsampledPerSecond is the maximum number of requests per second at which all are kept. Seven of the largest fleet's
	// entries receive that many together at peak load.
	unsampledPerSecond = 50
	// maxPerSecond is the maximum number of requests kept in one second of a sudden burst.
	maxPerSecond = 4 * unsampledPerSecond
	// maxLevel is the maximum number of times that the share is halved, which leaves one request in 65,536.
	maxLevel = 16
)

// sampler keeps all requests of a second with at most unsampledPerSecond requests. Above that it halves the share of kept
// requests until it fits, by the low bits of the ID's hash. The requests kept by a busy process are therefore a subset of
// those kept by an idle one.
type sampler struct {
	mu       sync.Mutex
	second   int64
	received int
	kept     int
	level    uint
}

// keep reports whether a successful request is kept.
func (s *sampler) keep(now time.Time, id waxwingpick.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		if second != s.second+1 {
			// No request arrived in the previous second.
			s.received = 0
		}
		s.level = levelOf(s.received)
		s.second, s.received, s.kept = second, 0, 0
	}
	s.received++
	// A burst halves the share within the current second.
	s.level = max(s.level, uint(s.kept/unsampledPerSecond))
	if s.kept >= maxPerSecond || xxhash.Sum64String(string(id))&(1<<s.level-1) != 0 {
		return false
	}
	s.kept++
	return true
}

// levelOf returns how often the share is halved at the given number of requests per second.
func levelOf(perSecond int) uint {
	level := uint(0)
	for level < maxLevel && perSecond>>level > unsampledPerSecond {
		level++
	}
	return level
}
