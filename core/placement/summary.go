package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// summaryKept is how long the load that another process told counts; several of its messages may be lost meanwhile.
	summaryKept = 600 * time.Millisecond
	// mostReads bounds the reads of one summary; cached parts that are not told are only read again elsewhere.
	mostReads = 64
	// readsTold is in how many summaries a read is told, since messages may be lost.
	readsTold = 2
)

// Summary is what one process tells the others about its requests on the engines of a service. Its CBOR form is short,
// since bytes between availability zones have a price and many processes tell each other often.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Engines []EngineLoad
	Reads   []Read
}

// EngineKey stands for a target's ID in summaries. Two targets with the same key would only seem to have each other's load.
type EngineKey uint32

// KeyOf returns the key of a target.
func KeyOf(id waxwingpick.TargetID) EngineKey {
	return EngineKey(xxhash.Sum64String(string(id)))
}

// EngineLoad is the work that one process has at an engine.
type EngineLoad struct {
	_      struct{} `cbor:",toarray"`
	Engine EngineKey
	// WorkMillis is the prompt work that is not read yet, at a pace of 1.
	WorkMillis int64
	Running    int
	// OverdueMillis is how much longer than predicted a request waits already.
	OverdueMillis int64
	// Occupied are the tokens in memory by the priority of their requests, up to the last that has any.
	Occupied []int
}

// Read says that an engine reads a prompt, and keeps its parts afterwards.
type Read struct {
	_      struct{} `cbor:",toarray"`
	Engine EngineKey
	Keys   []uint64
	Tokens []int
}

// told is a read that others are to hear of some more times.
type told struct {
	read Read
	left int
}

// peerLoad is what another process has at an engine.
type peerLoad struct {
	work     time.Duration
	running  int
	overdue  time.Duration
	occupied [priorities]int
	at       time.Time
}

// Summary returns what others are to know; it is to be asked for periodically.
func (f *Fleet) Summary(now time.Time) Summary {
	var s Summary
	for _, id := range f.order {
		e := f.engines[id]
		load := EngineLoad{
			Engine:        KeyOf(id),
			WorkMillis:    e.ahead(now).Milliseconds(),
			Running:       e.running,
			OverdueMillis: e.overdue(now).Milliseconds(),
			Occupied:      slices.Clone(e.memory.taken[:]),
		}
		for n := len(load.Occupied); n > 0 && load.Occupied[n-1] == 0; n-- {
			load.Occupied = load.Occupied[:n-1]
		}
		if load.Running > 0 {
			s.Engines = append(s.Engines, load)
		}
	}
	kept := f.reads[:0]
	for _, t := range f.reads {
		if len(s.Reads) < mostReads {
			s.Reads = append(s.Reads, t.read)
			t.left--
		}
		if t.left > 0 {
			kept = append(kept, t)
		}
	}
	f.reads = kept
	return s
}

// Observe takes what another process told.
func (f *Fleet) Observe(now time.Time, peer waxwingpick.InstanceID, s Summary) {
	for _, id := range f.order {
		delete(f.engines[id].peers, peer)
	}
	for _, l := range s.Engines {
		e, ok := f.keys[l.Engine]
		if !ok {
			continue
		}
		p := peerLoad{
			work:    toldTime(l.WorkMillis),
			running: within(l.Running, mostRunning),
			overdue: toldTime(l.OverdueMillis),
			at:      now,
		}
		for rank, tokens := range l.Occupied[:min(len(l.Occupied), priorities)] {
			p.occupied[rank] = within(tokens, mostTokens)
		}
		e.peers[peer] = p
	}
	for _, r := range s.Reads {
		e, ok := f.keys[r.Engine]
		if !ok || len(r.Keys) != len(r.Tokens) {
			continue
		}
		sizes := make([]int, len(r.Tokens))
		for i, tokens := range r.Tokens {
			sizes[i] = within(tokens, mostTokens)
		}
		e.cache.use(now, Parts{
			keys:   r.Keys,
			tokens: sizes,
		})
	}
}

const (
	// mostTold bounds what another process may say that an engine is busy for: a few times what any request waits.
	mostTold = time.Minute
	// mostRunning bounds the requests that another process may say it has at an engine: far more than engines have slots.
	mostRunning = 1 << 20
)

// toldTime returns the time that another process told, within its bounds.
func toldTime(millis int64) time.Duration {
	return time.Duration(within(millis, mostTold.Milliseconds())) * time.Millisecond
}

// leastTold is the smallest part, in tokens, that others are told of: smaller ones are read again in a few milliseconds.
const leastTold = 256

// worthTelling returns a prompt's parts up to the last one that is large.
func worthTelling(p Parts) Parts {
	n := len(p.tokens)
	for n > 0 && p.tokens[n-1] < leastTold {
		n--
	}
	return Parts{
		keys:   p.keys[:n],
		tokens: p.tokens[:n],
	}
}

// noteRead has others hear of a read.
func (f *Fleet) noteRead(id waxwingpick.TargetID, p Parts) {
	p = worthTelling(p)
	if len(p.keys) == 0 {
		return
	}
	f.reads = append(f.reads, told{
		read: Read{
			Engine: KeyOf(id),
			Keys:   p.keys,
			Tokens: p.tokens,
		},
		left: readsTold,
	})
	if len(f.reads) > readsTold*mostReads {
		f.reads = f.reads[1:]
	}
}
