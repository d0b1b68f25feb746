package digest

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// Senders is how many processes sum up for a zone: with one lost, the digests of the other go on.
	Senders = 2
	// silence is how long a process counts after its last message; several of these may be lost.
	silence = 600 * time.Millisecond
	// mostHeard bounds the processes whose messages are remembered.
	mostHeard = 1024
)

// Duty is what one process knows of who sums up load; it is not safe for concurrent use.
//
// The load pattern is a fleet of hundreds of processes: told by each to each, their load takes a number of messages that
// grows with the square of the fleet.
type Duty struct {
	self  waxwingpick.InstanceID
	zone  waxwingpick.AvailabilityZone
	heard map[waxwingpick.InstanceID]sign
	// turns counts the digests for each zone of which nobody is heard.
	turns map[waxwingpick.AvailabilityZone]int
}

// sign is the last sign of life of another process.
type sign struct {
	at   time.Time
	zone waxwingpick.AvailabilityZone
}

// New returns the state of a process that has heard nobody.
func New(self waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) *Duty {
	return &Duty{
		self:  self,
		zone:  zone,
		heard: make(map[waxwingpick.InstanceID]sign),
		turns: make(map[waxwingpick.AvailabilityZone]int),
	}
}

// Heard notes a message of another process.
func (d *Duty) Heard(now time.Time, from waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) {
	if from == d.self {
		return
	}
	if _, ok := d.heard[from]; !ok && len(d.heard) >= mostHeard {
		d.forget(now)
		if len(d.heard) >= mostHeard {
			return
		}
	}
	d.heard[from] = sign{
		at:   now,
		zone: zone,
	}
}

func (d *Duty) forget(now time.Time) {
	for id, s := range d.heard {
		if now.Sub(s.at) > silence {
			delete(d.heard, id)
		}
	}
}

// Index returns this process's place among those that sum up its zone; false where enough others do.
func (d *Duty) Index(now time.Time) (int, bool) {
	better := 0
	for id, s := range d.heard {
		if s.zone == d.zone && now.Sub(s.at) <= silence && compare(id, d.self) < 0 {
			better++
		}
	}
	return better, better < Senders
}

// Receiver returns whom of a zone's listed processes the one with an index sends its next digest: one of the best ranked that
// send digests themselves, or all in turn where none is heard, since those that ended stay listed for a while.
func (d *Duty) Receiver(now time.Time, index int, zone waxwingpick.AvailabilityZone, listed []waxwingpick.InstanceID) waxwingpick.Option[waxwingpick.InstanceID] {
	if len(listed) == 0 {
		return waxwingpick.None[waxwingpick.InstanceID]()
	}
	var ranked []waxwingpick.InstanceID
	for _, id := range listed {
		if s, ok := d.heard[id]; ok && now.Sub(s.at) <= silence {
			ranked = append(ranked, id)
		}
	}
	if len(ranked) == 0 {
		ranked = slices.Clone(listed)
		slices.SortFunc(ranked, compare)
		d.turns[zone]++
		return waxwingpick.Some(ranked[(index+d.turns[zone])%len(ranked)])
	}
	slices.SortFunc(ranked, compare)
	return waxwingpick.Some(ranked[index%min(Senders, len(ranked))])
}

// compare orders processes by rank, the best first.
func compare(a, b waxwingpick.InstanceID) int {
	return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a, b))
}

func rankOf(id waxwingpick.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}
