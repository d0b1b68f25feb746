package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// summaryTTL is how long a load report counts. It spans several messages, since some may be lost.
	summaryTTL = 600 * time.Millisecond
	// maxReads limits the prefills reported in one summary. The cost of an omitted one is a repeated prefill on another
	// engine.
	maxReads = 64
	// readRepeats is the number of summaries that report the same prefill, since messages may be lost.
	readRepeats = 2
)

// Summary is one process's report on its requests at the engines of a service. Its CBOR encoding is compact, since
// bytes between availability zones have a price and many processes exchange summaries often.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Engines []EngineLoad
	Reads   []CachedPrompt
	// Repeated is the number of leading entries of Reads that an earlier summary contained.
	Repeated int
}

// EngineKey is a hash of a target's ID, used in summaries. A collision only makes two targets appear to have each
// other's load.
type EngineKey uint32

// KeyOf returns the key of a target.
func KeyOf(id waxwingpick.TargetID) EngineKey {
	return EngineKey(xxhash.Sum64String(string(id)))
}

// EngineLoad is the load of one process at an engine.
type EngineLoad struct {
	_      struct{} `cbor:",toarray"`
	Engine EngineKey
	// WorkMillis is the prompt computation left, at a pace of 1.
	WorkMillis int64
	Running    int
	// OverdueMillis is by how much a waiting request exceeds its predicted wait.
	OverdueMillis int64
	// Occupied is the number of tokens in memory by the priority of their requests, without trailing zeros.
	Occupied []int
}

// CachedPrompt reports that an engine computes a prompt and caches its segments afterwards.
type CachedPrompt struct {
	_      struct{} `cbor:",toarray"`
	Engine EngineKey
	Keys   []uint64
	Tokens []int
}

// pendingRead is a prefill that is still to be reported in some summaries.
type pendingRead struct {
	read CachedPrompt
	left int
}

// reporter identifies the sender of a report: a process of the local availability zone, or an entire other zone.
type reporter struct {
	process waxwingpick.InstanceID
	zone    waxwingpick.AvailabilityZone
}

// peerLoad is the load that another process, or another zone, reports for an engine.
type peerLoad struct {
	work     time.Duration
	running  int
	overdue  time.Duration
	occupied [priorities]int
	at       time.Time
}

// Summary returns the next report of this process; it is called periodically.
func (f *Fleet) Summary(now time.Time) Summary {
	var s Summary
	for _, id := range f.order {
		e := f.engines[id]
		load := EngineLoad{
			Engine:        KeyOf(id),
			WorkMillis:    e.pendingWork(now).Milliseconds(),
			Running:       e.running,
			OverdueMillis: e.overdue(now).Milliseconds(),
			Occupied:      trimTrailingZeros(e.memory.used),
		}
		if load.Running > 0 {
			s.Engines = append(s.Engines, load)
		}
	}
	kept := f.reads[:0]
	for _, t := range f.reads {
		if len(s.Reads) < maxReads {
			s.Reads = append(s.Reads, t.read)
			if t.left < readRepeats {
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

// Digest returns the load of all known processes of the local zone, for the other zones; it is called periodically.
func (f *Fleet) Digest(now time.Time) Summary {
	var s Summary
	for _, id := range f.order {
		e := f.engines[id]
		own := e.zoneLoad(now)
		if own.running == 0 {
			continue
		}
		s.Engines = append(s.Engines, EngineLoad{
			Engine:        KeyOf(id),
			WorkMillis:    own.work.Milliseconds(),
			Running:       own.running,
			OverdueMillis: own.overdue.Milliseconds(),
			Occupied:      trimTrailingZeros(own.occupied),
		})
	}
	s.Reads = f.zoneReads
	f.zoneReads = nil
	return s
}

// trimTrailingZeros returns a copy of the tokens by priority without trailing zeros.
func trimTrailingZeros(tokens [priorities]int) []int {
	n := len(tokens)
	for n > 0 && tokens[n-1] == 0 {
		n--
	}
	return slices.Clone(tokens[:n])
}

// Observe applies the summary of another process of the local availability zone.
func (f *Fleet) Observe(now time.Time, peer waxwingpick.InstanceID, s Summary) {
	f.observe(now, now, reporter{
		process: peer,
	}, s)
	for _, r := range s.Reads[clamp(s.Repeated, len(s.Reads)):] {
		f.recordZoneRead(r)
	}
}

// ObserveZone applies a digest of another availability zone with the given age, unless a newer one was applied.
func (f *Fleet) ObserveZone(now time.Time, zone waxwingpick.AvailabilityZone, age time.Duration, s Summary) {
	at := now.Add(-max(0, age))
	if _, tracked := f.zones[zone]; zone == f.zone || at.Before(f.zones[zone]) || !tracked && len(f.zones) >= maxZones {
		return
	}
	f.zones[zone] = at
	f.observe(now, at, reporter{
		zone: zone,
	}, s)
}

func (f *Fleet) observe(now, at time.Time, peer reporter, s Summary) {
	for _, id := range f.order {
		delete(f.engines[id].peers, peer)
	}
	for _, l := range s.Engines {
		e, ok := f.keys[l.Engine]
		if !ok {
			continue
		}
		p := peerLoad{
			work:    reportedDelay(l.WorkMillis),
			running: clamp(l.Running, maxRunning),
			overdue: reportedDelay(l.OverdueMillis),
			at:      at,
		}
		for rank, tokens := range l.Occupied[:min(len(l.Occupied), priorities)] {
			p.occupied[rank] = clamp(tokens, maxTokens)
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
			sizes[i] = clamp(tokens, maxTokens)
		}
		e.cache.use(now, Parts{
			keys:   r.Keys,
			tokens: sizes,
		})
	}
}

const (
	// maxReportedDelay limits the work or delay in a report, at a few times the longest wait of a request.
	maxReportedDelay = time.Minute
	// maxZones limits the availability zones whose digests are applied.
	maxZones = 64
	// maxRunning limits the running requests in a report; it is far above the slots of an engine.
	maxRunning = 1 << 20
)

// reportedDelay converts and clamps a duration from a report.
func reportedDelay(millis int64) time.Duration {
	return time.Duration(clamp(millis, maxReportedDelay.Milliseconds())) * time.Millisecond
}

// minReportTokens is the size of the smallest reported segment; smaller ones take only milliseconds to compute again.
const minReportTokens = 256

// reportableParts returns the number of segments up to the last one with at least minTokens tokens.
func reportableParts(tokens []int, minTokens int) int {
	n := len(tokens)
	for n > 0 && tokens[n-1] < minTokens {
		n--
	}
	return n
}

// minZoneReportTokens is the size of the smallest segment reported to other zones.
const minZoneReportTokens = 1024

// recordRead queues a prefill to be reported in the next summaries.
func (f *Fleet) recordRead(id waxwingpick.TargetID, p Parts) {
	n := reportableParts(p.tokens, minReportTokens)
	if n == 0 {
		return
	}
	read := CachedPrompt{
		Engine: KeyOf(id),
		Keys:   p.keys[:n],
		Tokens: p.tokens[:n],
	}
	f.reads = append(f.reads, pendingRead{
		read: read,
		left: readRepeats,
	})
	if len(f.reads) > readRepeats*maxReads {
		f.reads = f.reads[1:]
	}
	f.recordZoneRead(read)
}

// recordZoneRead queues a prefill to be reported in the next digest, in case this process sends digests to other zones.
func (f *Fleet) recordZoneRead(r CachedPrompt) {
	if len(r.Keys) != len(r.Tokens) {
		return
	}
	n := reportableParts(r.Tokens, minZoneReportTokens)
	if n == 0 {
		return
	}
	f.zoneReads = append(f.zoneReads, CachedPrompt{
		Engine: r.Engine,
		Keys:   r.Keys[:n],
		Tokens: r.Tokens[:n],
	})
	if len(f.zoneReads) > maxReads {
		f.zoneReads = f.zoneReads[1:]
	}
}
