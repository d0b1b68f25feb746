package digest

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// Senders is the number of processes that aggregate the load of a zone, so that digests continue if one fails.
	Senders = 2
	// peerTimeout is how long a process counts as live after its last message. It spans several messages, since some may
	// be lost.
	peerTimeout = 600 * time.Millisecond
	// maxPeers limits the number of tracked processes.
	maxPeers = 1024
)

// Aggregators tracks which processes aggregate load. It is not safe for concurrent use.
//
// In a fleet of hundreds of processes, the number of messages would grow with the square of the fleet if each process
// sent its load to every other one.
type Aggregators struct {
	self  waxwingpick.InstanceID
	zone  waxwingpick.AvailabilityZone
	peers map[waxwingpick.InstanceID]heartbeat
	// rotations counts the digests for each zone from which no message was received recently.
	rotations map[waxwingpick.AvailabilityZone]int
}

// heartbeat is the last message of another process.
type heartbeat struct {
	at   time.Time
	zone waxwingpick.AvailabilityZone
}

// New returns the initial state of a process, without any peers.
func New(self waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) *Aggregators {
	return &Aggregators{
		self:      self,
		zone:      zone,
		peers:     make(map[waxwingpick.InstanceID]heartbeat),
		rotations: make(map[waxwingpick.AvailabilityZone]int),
	}
}

// Observe records a message of another process.
func (d *Aggregators) Observe(now time.Time, from waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) {
	if from == d.self {
		return
	}
	if _, ok := d.peers[from]; !ok && len(d.peers) >= maxPeers {
		d.expirePeers(now)
		if len(d.peers) >= maxPeers {
			return
		}
	}
	d.peers[from] = heartbeat{
		at:   now,
		zone: zone,
	}
}

func (d *Aggregators) expirePeers(now time.Time) {
	for id, s := range d.peers {
		if now.Sub(s.at) > peerTimeout {
			delete(d.peers, id)
		}
	}
}

// Index returns this process's index among the aggregators of its zone, and false if there are enough others.
func (d *Aggregators) Index(now time.Time) (int, bool) {
	better := 0
	for id, s := range d.peers {
		if s.zone == d.zone && now.Sub(s.at) <= peerTimeout && compare(id, d.self) < 0 {
			better++
		}
	}
	return better, better < Senders
}

// Aggregators returns the live processes that aggregate the load of this process's zone, which may include it.
func (d *Aggregators) Aggregators(now time.Time) []waxwingpick.InstanceID {
	live := []waxwingpick.InstanceID{d.self}
	for id, s := range d.peers {
		if s.zone == d.zone && now.Sub(s.at) <= peerTimeout {
			live = append(live, id)
		}
	}
	slices.SortFunc(live, compare)
	return live[:min(Senders, len(live))]
}

// Receiver returns the process among the listed ones of a zone that the aggregator with the index sends its next digest
// to. It is one of the highest ranked live processes, which send digests themselves. If none is live, it is each listed
// process in rotation, since terminated processes stay listed for a while.
func (d *Aggregators) Receiver(now time.Time, index int, zone waxwingpick.AvailabilityZone, listed []waxwingpick.InstanceID) waxwingpick.Option[waxwingpick.InstanceID] {
	if len(listed) == 0 {
		return waxwingpick.None[waxwingpick.InstanceID]()
	}
	var ranked []waxwingpick.InstanceID
	for _, id := range listed {
		if s, ok := d.peers[id]; ok && now.Sub(s.at) <= peerTimeout {
			ranked = append(ranked, id)
		}
	}
	if len(ranked) == 0 {
		ranked = slices.Clone(listed)
		slices.SortFunc(ranked, compare)
		d.rotations[zone]++
		return waxwingpick.Some(ranked[(index+d.rotations[zone])%len(ranked)])
	}
	slices.SortFunc(ranked, compare)
	return waxwingpick.Some(ranked[index%min(Senders, len(ranked))])
}

// compare orders processes by rank, highest first.
func compare(a, b waxwingpick.InstanceID) int {
	return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a, b))
}

func rankOf(id waxwingpick.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}
