package placement

import (
	"slices"
	"time"

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

// Summary is what one process tells the others about its requests on the engines of a service.
type Summary struct {
	Engines []EngineLoad `json:"engines,omitempty"`
	Reads   []Read       `json:"reads,omitempty"`
}

// EngineLoad is the work that one process has at an engine.
type EngineLoad struct {
	Engine waxwingpick.TargetID `json:"engine"`
	// WorkMicros is the prompt work that is not read yet, at a pace of 1.
	WorkMicros int64 `json:"workMicros,omitempty"`
	Running    int   `json:"running,omitempty"`
	// OverdueMicros is how much longer than predicted a request waits already.
	OverdueMicros int64 `json:"overdueMicros,omitempty"`
	// Occupied are the tokens in memory by the priority of their requests, up to the last that has any.
	Occupied []int `json:"occupied,omitempty"`
}

// Read says that an engine reads a prompt, and keeps its parts afterwards.
type Read struct {
	Engine waxwingpick.TargetID `json:"engine"`
	Keys   []uint64             `json:"keys"`
	Tokens []int                `json:"tokens"`
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
			Engine:        id,
			WorkMicros:    e.ahead(now).Microseconds(),
			Running:       e.running,
			OverdueMicros: e.overdue(now).Microseconds(),
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
		e, ok := f.engines[l.Engine]
		if !ok {
			continue
		}
		p := peerLoad{
			work:    time.Duration(max(0, l.WorkMicros)) * time.Microsecond,
			running: max(0, l.Running),
			overdue: time.Duration(max(0, l.OverdueMicros)) * time.Microsecond,
			at:      now,
		}
		for rank, tokens := range l.Occupied[:min(len(l.Occupied), priorities)] {
			p.occupied[rank] = max(0, tokens)
		}
		e.peers[peer] = p
	}
	for _, r := range s.Reads {
		e, ok := f.engines[r.Engine]
		if !ok || len(r.Keys) != len(r.Tokens) {
			continue
		}
		e.cache.use(Parts{
			keys:   r.Keys,
			tokens: r.Tokens,
		})
	}
}

// noteRead has others hear of a read.
func (f *Fleet) noteRead(id waxwingpick.TargetID, p Parts) {
	f.reads = append(f.reads, told{
		read: Read{
			Engine: id,
			Keys:   p.keys,
			Tokens: p.tokens,
		},
		left: readsTold,
	})
	if len(f.reads) > readsTold*mostReads {
		f.reads = f.reads[1:]
	}
}
