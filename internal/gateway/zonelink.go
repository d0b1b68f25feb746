package gateway

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingpick"
	"waxwingpick/core/placement"
)

const (
	// zoneShareKind is the first byte of a message with the figures for shares of zones.
	zoneShareKind = 0x0b
	// zoneShareInterval is the time between two messages of a gateway.
	zoneShareInterval = 200 * time.Millisecond
	// maxZoneWork bounds a reported demand, capacity or room. It is far above the number of targets of a zone.
	maxZoneWork = 1e6
	// maxZoneWait bounds a reported wait, at a few times the longest wait of a request.
	maxZoneWait = time.Minute
	// maxZoneFigureAge bounds the age of a report. Older figures have no weight in core/zoneshare.
	maxZoneFigureAge = 10 * time.Second
)

// zoneMessage is what gateways tell each other for the shares of zones. Former versions of the program ignore it.
type zoneMessage struct {
	_    struct{} `cbor:",toarray"`
	From waxwingpick.InstanceID
	Zone waxwingpick.AvailabilityZone
	// Demands are the sender's own, for the aggregators of its zone.
	Demands map[waxwingpick.ServiceName]float64
	Reports []zoneReport
}

// zoneReport holds the figures of a zone.
type zoneReport struct {
	_         struct{} `cbor:",toarray"`
	Zone      waxwingpick.AvailabilityZone
	AgeMillis int64
	Services  map[waxwingpick.ServiceName]zoneFigures
}

type zoneFigures struct {
	_          struct{} `cbor:",toarray"`
	Demand     float64
	Capacity   float64
	WaitMillis int64
	Room       float64
}

// receivedReport is a report with the time at which it was made, on this process's clock.
type receivedReport struct {
	report zoneReport
	at     time.Time
}

// validWork reports whether a demand, capacity or room can be true.
func validWork(v float64) bool {
	return !math.IsNaN(v) && v >= 0 && v <= maxZoneWork
}

// valid reports whether all figures are in their range.
func (m zoneMessage) valid() bool {
	if m.From == "" || len(m.Reports) > maxZones+1 {
		return false
	}
	for _, demand := range m.Demands {
		if !validWork(demand) {
			return false
		}
	}
	for _, r := range m.Reports {
		if r.Zone == "" || r.AgeMillis < 0 || r.AgeMillis > maxZoneFigureAge.Milliseconds() {
			return false
		}
		for _, f := range r.Services {
			if !validWork(f.Demand) || !validWork(f.Capacity) || !validWork(f.Room) || f.WaitMillis < 0 || f.WaitMillis > maxZoneWait.Milliseconds() {
				return false
			}
		}
	}
	return true
}

// due reports whether the interval since the last message has passed, and counts the next one from now if so.
func (z *zoneShares) due(now time.Time, last *time.Time, interval time.Duration) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// sendDemand sends the demand of this gateway to the aggregators of its zone.
func (z *zoneShares) sendDemand(now time.Time, loads map[waxwingpick.ServiceName]placement.ZoneLoad) {
	if !z.due(now, &z.lastDemand, zoneShareInterval) {
		return
	}
	demands := make(map[waxwingpick.ServiceName]float64, len(loads))
	for name, load := range loads {
		demands[name] = min(load.Demand, maxZoneWork)
	}
	var aggregators []string
	for _, id := range z.gossip.aggregatorIDs(now) {
		if addr, ok := z.gossip.peers.addrOf(id).Get(); ok && id != z.process.options.Instance {
			aggregators = append(aggregators, addr)
		}
	}
	z.sendMessage(aggregators, zoneMessage{
		Demands: demands,
	})
}

// sendReports sends the figures of this zone, if this gateway aggregates them, and new ones of other zones within the zone. In a small
// fleet it sends to all gateways, since no digests are sent. As for summaries, the interval grows with the number of receivers.
func (z *zoneShares) sendReports(now time.Time, loads map[waxwingpick.ServiceName]placement.ZoneLoad) {
	receivers := z.gossip.peers.summaryReceivers()
	if !z.due(now, &z.lastReports, max(zoneShareInterval, time.Duration(len(receivers))*time.Second/maxSummaryRate)) {
		return
	}
	reports := z.takeUnforwarded(now)
	if own, ok := z.sums(now, loads); ok {
		z.observe(now, now, own)
		reports = append(reports, own)
	}
	if len(reports) > 0 {
		z.sendMessage(receivers, zoneMessage{
			Reports: reports,
		})
	}
}

// sendToZones sends the figures of this zone to the gateways that receive its digests.
func (z *zoneShares) sendToZones(now time.Time, receivers []string) {
	if !z.due(now, &z.lastToZones, zoneShareInterval) {
		return
	}
	if report, ok := z.sums(now, z.loads(now)); ok {
		z.sendMessage(receivers, zoneMessage{
			Reports: []zoneReport{report},
		})
	}
}

// takeUnforwarded returns the reports of other zones that were not forwarded yet.
func (z *zoneShares) takeUnforwarded(now time.Time) []zoneReport {
	z.mu.Lock()
	defer z.mu.Unlock()
	var reports []zoneReport
	for _, r := range z.unforwarded {
		if age := now.Sub(r.at); age <= maxZoneFigureAge {
			r.report.AgeMillis = age.Milliseconds()
			reports = append(reports, r.report)
		}
	}
	clear(z.unforwarded)
	return reports
}

func (z *zoneShares) sendMessage(receivers []string, m zoneMessage) {
	if len(receivers) == 0 {
		return
	}
	m.From, m.Zone = z.process.options.Instance, z.process.options.Zone
	z.gossip.sendKind(zoneShareKind, m, receivers...)
}

// receive applies the message of another gateway; one that cannot be decoded or has a figure out of range is dropped.
func (z *zoneShares) receive(now time.Time, encoded []byte) {
	var m zoneMessage
	if cbor.Unmarshal(encoded, &m) != nil || !m.valid() || m.From == z.process.options.Instance {
		return
	}
	sameZone := m.Zone == z.process.options.Zone
	if sameZone && len(m.Demands) > 0 {
		z.observeDemand(now, m)
	}
	for _, r := range m.Reports {
		// A gateway reports its own zone, and forwards others within its own.
		if m.Zone != r.Zone && (!sameZone || r.Zone == z.process.options.Zone) {
			continue
		}
		at := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
		if !sameZone && !z.gossip.peers.small() {
			z.keepUnforwarded(at, r)
		}
		z.observe(now, at, r)
	}
}

func (z *zoneShares) observeDemand(now time.Time, m zoneMessage) {
	z.mu.Lock()
	defer z.mu.Unlock()
	putBounded(z.demands, maxPeers, m.From, ownDemand{
		at:       now,
		services: m.Demands,
	})
}

// keepUnforwarded keeps a report of another zone for forwarding.
func (z *zoneShares) keepUnforwarded(at time.Time, r zoneReport) {
	z.mu.Lock()
	defer z.mu.Unlock()
	putBounded(z.unforwarded, maxZones, r.Zone, receivedReport{
		report: r,
		at:     at,
	})
}
