package suspect

import (
	"sync"
	"time"
)

const (
	completionShards = 16
	// completionAge is the time after which a completion may be forgotten. Strikes of requests that were sent before it
	// arrive within seconds.
	completionAge = 30 * time.Second
	// maxCompletions bounds the candidates of one generation of a shard.
	maxCompletions = 256
)

// completions holds when a response to a request with a candidate was last complete in this process. It forgets the
// candidates that were not seen for a while, or sooner if there are too many.
type completions struct {
	shards [completionShards]completionShard
}

type completionShard struct {
	mu sync.Mutex
	// current and previous are generations. since is when the current one began.
	current  map[Candidate]time.Time
	previous map[Candidate]time.Time
	since    time.Time
}

func (c *completions) shard(candidate Candidate) *completionShard {
	return &c.shards[candidate.sum%completionShards]
}

func (c *completions) add(now time.Time, candidate Candidate) {
	s := c.shard(candidate)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || len(s.current) >= maxCompletions || now.Sub(s.since) > completionAge {
		s.previous = s.current
		s.current = make(map[Candidate]time.Time)
		s.since = now
	}
	s.current[candidate] = now
}

// last returns the time of the latest completion; zero if none is known.
func (c *completions) last(candidate Candidate) time.Time {
	s := c.shard(candidate)
	s.mu.Lock()
	defer s.mu.Unlock()
	return latest(s.current[candidate], s.previous[candidate])
}
