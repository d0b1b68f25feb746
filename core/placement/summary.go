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
	// Repeated is how many of the first reads were told before.
	Repeated int
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

// teller is one process of the own availability zone, or all of another zone.
type teller struct {
	process waxwingpick.InstanceID
	zone    waxwingpick.AvailabilityZone
}

// peerLoad is what another process, or another zone, has at an engine.
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
			Occupied:      upToLast(e.memory.taken),
		}
		if load.Running > 0 {
			s.Engines = append(s.Engines, load)
		}
	}
	kept := f.reads[:0]
	for _, t := range f.reads {
		if len(s.Reads) < mostReads {
			s.Reads = append(s.Reads, t.read)
			if t.left < readsTold {
				s.Repeated++
			}
			t.left--
		}
		if t.left > 0 {
			kept = append(kept, t)
		}
	}
	f.reads = kept
	return s
}

// Digest returns what the other zones are to know of all processes of the own one, as far as this process is told; it is to be
// asked for periodically.
func (f *Fleet) Digest(now time.Time) Summary {
	var s Summary
	for _, id := range f.order {
		e := f.engines[id]
		own := e.nearLoad(now)
		if own.running == 0 {
			continue
		}
		s.Engines = append(s.Engines, EngineLoad{
			Engine:        KeyOf(id),
			WorkMillis:    own.work.Milliseconds(),
			Running:       own.running,
			OverdueMillis: own.overdue.Milliseconds(),
			Occupied:      upToLast(own.occupied),
		})
	}
	s.Reads = f.zoneReads
	f.zoneReads = nil
	return s
}

// upToLast returns the tokens by priority up to the last that has any.
func upToLast(tokens [priorities]int) []int {
	n := len(tokens)
	for n > 0 && tokens[n-1] == 0 {
		n--
	}
	return slices.Clone(tokens[:n])
}

// Observe takes what another process of the own availability zone told.
func (f *Fleet) Observe(now time.Time, peer waxwingpick.InstanceID, s Summary) {
	f.observe(now, now, teller{
		process: peer,
	}, s)
	for _, r := range s.Reads[within(s.Repeated, len(s.Reads)):] {
		f.noteZoneRead(r)
	}
}

// ObserveZone takes a digest of another availability zone that was made some time ago, unless a newer one is known.
func (f *Fleet) ObserveZone(now time.Time, zone waxwingpick.AvailabilityZone, age time.Duration, s Summary) {
	at := now.Add(-max(0, age))
	if _, known := f.zones[zone]; zone == f.zone || at.Before(f.zones[zone]) || !known && len(f.zones) >= mostZones {
		return
	}
	f.zones[zone] = at
	f.observe(now, at, teller{
		zone: zone,
	}, s)
}

func (f *Fleet) observe(now, at time.Time, peer teller, s Summary) {
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
			at:      at,
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
	// mostZones bounds the availability zones whose digests are known.
	mostZones = 64
	// mostRunning bounds the requests that another process may say it has at an engine: far more than engines have slots.
	mostRunning = 1 << 20
)

// toldTime returns the time that another process told, within its bounds.
func toldTime(millis int64) time.Duration {
	return time.Duration(within(millis, mostTold.Milliseconds())) * time.Millisecond
}

// leastTold is the smallest part, in tokens, that others are told of: smaller ones are read again in a few milliseconds.
const leastTold = 256

// worthTelling returns how many parts of a prompt there are up to the last one that has so many tokens.
func worthTelling(tokens []int, least int) int {
	n := len(tokens)
	for n > 0 && tokens[n-1] < least {
		n--
	}
	return n
}

// leastToldFar is the smallest part, in tokens, that other zones are told of.
const leastToldFar = 1024

// noteRead has others hear of a read.
func (f *Fleet) noteRead(id waxwingpick.TargetID, p Parts) {
	n := worthTelling(p.tokens, leastTold)
	if n == 0 {
		return
	}
	read := Read{
		Engine: KeyOf(id),
		Keys:   p.keys[:n],
		Tokens: p.tokens[:n],
	}
	f.reads = append(f.reads, told{
		read: read,
		left: readsTold,
	})
	if len(f.reads) > readsTold*mostReads {
		f.reads = f.reads[1:]
	}
	f.noteZoneRead(read)
}

// noteZoneRead has the other zones hear of a read, where this process sums up its own.
func (f *Fleet) noteZoneRead(r Read) {
	if len(r.Keys) != len(r.Tokens) {
		return
	}
	n := worthTelling(r.Tokens, leastToldFar)
	if n == 0 {
		return
	}
	f.zoneReads = append(f.zoneReads, Read{
		Engine: r.Engine,
		Keys:   r.Keys[:n],
		Tokens: r.Tokens[:n],
	})
	if len(f.zoneReads) > mostReads {
		f.zoneReads = f.zoneReads[1:]
	}
}
