package sidecar

import (
	"hash/maphash"
	"sync"
)

const streamShards = 16

// streams tracks which reader owns each engine stream, so that a reader whose
// entry is gone doesn't cancel a stream that was resumed meanwhile.
type streams struct {
	seed   maphash.Seed
	shards [streamShards]streamShard
}

type streamShard struct {
	mu     sync.Mutex
	owners map[string]int
}

func newStreams() *streams {
	s := &streams{
		seed: maphash.MakeSeed(),
	}
	for i := range s.shards {
		s.shards[i].owners = make(map[string]int)
	}
	return s
}

// take makes the caller the newest reader of the stream and returns its turn.
func (s *streams) take(id string) int {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.owners[id]++
	return shard.owners[id]
}

// owns reports whether no other reader took the stream since.
func (s *streams) owns(id string, turn int) bool {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.owners[id] == turn
}

// drop forgets the stream if the reader with the turn still owns it.
func (s *streams) drop(id string, turn int) bool {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.owners[id] != turn {
		return false
	}
	delete(shard.owners, id)
	return true
}

// len returns the number of streams that are being read or wait for a resume.
func (s *streams) len() int {
	n := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		n += len(shard.owners)
		shard.mu.Unlock()
	}
	return n
}

func (s *streams) shard(id string) *streamShard {
	return &s.shards[maphash.String(s.seed, id)%streamShards]
}
