package sidecar

import (
	"hash/maphash"
	"sync"
)

const streamShards = 16

// streams tracks the latest reader of each engine stream, so that a reader whose entry has disconnected doesn't cancel a
// stream that has been resumed by another reader.
type streams struct {
	seed   maphash.Seed
	shards [streamShards]streamShard
}

type streamShard struct {
	mu           sync.Mutex
	latestReader map[string]int
}

func newStreams() *streams {
	s := &streams{
		seed: maphash.MakeSeed(),
	}
	for i := range s.shards {
		s.shards[i].latestReader = make(map[string]int)
	}
	return s
}

// addReader makes the caller the latest reader of the stream and returns its reader ID.
func (s *streams) addReader(id string) int {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.latestReader[id]++
	return shard.latestReader[id]
}

// isLatestReader reports whether the stream has no newer reader.
func (s *streams) isLatestReader(id string, readerID int) bool {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.latestReader[id] == readerID
}

// removeReader removes the stream if the reader is its latest one, and reports whether it did.
func (s *streams) removeReader(id string, readerID int) bool {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.latestReader[id] != readerID {
		return false
	}
	delete(shard.latestReader, id)
	return true
}

// len returns the number of streams that are being read or are kept for a resume.
func (s *streams) len() int {
	n := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		n += len(shard.latestReader)
		shard.mu.Unlock()
	}
	return n
}

func (s *streams) shard(id string) *streamShard {
	return &s.shards[maphash.String(s.seed, id)%streamShards]
}
