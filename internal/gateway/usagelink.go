package gateway

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingpick"
	"waxwingpick/core/usage"
)

const (
	// usageKind, totalsKind and clockKind are the first bytes of messages with the counts of a process, with the sums of a zone
	// and with a process's time of day.
	usageKind  = 0x06
	totalsKind = 0x07
	clockKind  = 0x08
	// maxUsageBytes bounds the counts of one message.
	maxUsageBytes = 50_000
	// clockInterval is the time between two messages with the time of day.
	clockInterval = 500 * time.Millisecond
	// clockFanOut is the number of gateways that receive them. It is a constant so that the messages don't grow with the fleet.
	clockFanOut = 8
)

// usageMessage is what a gateway tells the aggregators of its zone about the requests that began.
type usageMessage struct {
	_       struct{} `cbor:",toarray"`
	Process usage.Process
	Zone    waxwingpick.AvailabilityZone
	Reports []usage.WindowCounts
}

// totalsMessage is what the aggregators of a zone tell the holder of the duty.
type totalsMessage struct {
	_      struct{} `cbor:",toarray"`
	Zone   waxwingpick.AvailabilityZone
	Totals []usage.ZoneCounts
}

// clockMessage is a gateway's time of day.
type clockMessage struct {
	_          struct{} `cbor:",toarray"`
	From       waxwingpick.InstanceID
	WallMicros int64
}

// sendUsage tells the aggregators of the zone what began since the last message, and the holder the sums of the zone if this
// gateway is an aggregator.
func (u *usageHost) sendUsage(now time.Time) {
	u.countMu.Lock()
	fleet := u.nowLocked()
	reports := u.counter.Report(fleet)
	u.countMu.Unlock()
	u.mu.Lock()
	if now.Sub(u.lastFull) >= usageFullInterval {
		u.lastFull = now
	} else {
		reports = reports[len(reports)-growingWindows(fleet, u.process.options.UsageWindow):]
	}
	process := usage.Process{
		Instance:    u.process.options.Instance,
		Incarnation: u.incarnation,
	}
	u.mu.Unlock()
	g := u.process.gossip
	if g == nil {
		u.receiveCounts(process, reports)
		u.sendTotals(now)
		return
	}
	for _, id := range g.aggregatorIDs(now) {
		if id == u.process.options.Instance {
			u.receiveCounts(process, reports)
			continue
		}
		for _, part := range usage.Split(reports, maxUsageBytes) {
			g.sendTo(id, usageKind, usageMessage{
				Process: process,
				Zone:    u.process.options.Zone,
				Reports: part,
			})
		}
	}
	u.sendTotals(now)
	u.sendClock(now)
}

// growingWindows returns how many of the newest windows may still get counts.
func growingWindows(fleet time.Time, length time.Duration) int {
	if fleet.Sub(usage.WindowOf(fleet, length).Start(length)) < usage.SettleLag {
		return 2
	}
	return 1
}

// sendTotals tells the holder the sums of the zone.
func (u *usageHost) sendTotals(now time.Time) {
	holder := u.duty.holder()
	u.mu.Lock()
	if holder == "" || now.Sub(u.lastTotals) < totalsInterval {
		u.mu.Unlock()
		return
	}
	u.lastTotals = now
	totals := u.sum.Totals(u.now())
	u.mu.Unlock()
	g := u.process.gossip
	switch {
	case holder == u.process.options.Instance:
		u.receiveTotals(u.process.options.Zone, totals)
	case g != nil && g.aggregates(now):
		for _, part := range usage.SplitZones(totals, maxUsageBytes) {
			g.sendTo(holder, totalsKind, totalsMessage{
				Zone:   u.process.options.Zone,
				Totals: part,
			})
		}
	}
}

// sendClock tells some gateways of the zone the time of day of this machine.
func (u *usageHost) sendClock(now time.Time) {
	u.mu.Lock()
	due := now.Sub(u.lastClock) >= clockInterval
	if due {
		u.lastClock = now
	}
	wall := u.wall()
	u.mu.Unlock()
	if !due {
		return
	}
	g := u.process.gossip
	for _, id := range successors(u.process.options.Instance, g.peers.sameZoneIDs(), clockFanOut) {
		g.sendTo(id, clockKind, clockMessage{
			From:       u.process.options.Instance,
			WallMicros: wall.UnixMicro(),
		})
	}
}

// successors returns the n processes that follow a process in the order of the hashes of their IDs, which is a ring.
func successors(self waxwingpick.InstanceID, others []waxwingpick.InstanceID, n int) []waxwingpick.InstanceID {
	slices.SortFunc(others, compareHashes)
	first := rankAmong(self, others)
	var next []waxwingpick.InstanceID
	for i := range min(n, len(others)) {
		next = append(next, others[(first+i)%len(others)])
	}
	return next
}

// receive handles a message of another gateway and reports whether it is one of this part. Messages that cannot be decoded are
// dropped, and their sender repeats them.
func (u *usageHost) receive(kind byte, encoded []byte) bool {
	switch kind {
	case usageKind:
		var m usageMessage
		if cbor.Unmarshal(encoded, &m) == nil && m.Zone == u.process.options.Zone {
			u.receiveCounts(m.Process, m.Reports)
		}
	case totalsKind:
		var m totalsMessage
		if cbor.Unmarshal(encoded, &m) == nil {
			u.receiveTotals(m.Zone, m.Totals)
		}
	case clockKind:
		var m clockMessage
		if cbor.Unmarshal(encoded, &m) == nil {
			u.countMu.Lock()
			u.clock.ObservePeer(u.steady(), m.From, time.UnixMicro(m.WallMicros))
			u.countMu.Unlock()
		}
	default:
		return false
	}
	return true
}

func (u *usageHost) receiveCounts(p usage.Process, reports []usage.WindowCounts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sum.Observe(u.now(), p, reports)
}

func (u *usageHost) receiveTotals(zone waxwingpick.AvailabilityZone, totals []usage.ZoneCounts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports.Observe(u.now(), zone, totals)
}
