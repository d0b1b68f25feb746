package gateway

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/placement"
	"waxwingpick/core/zoneshare"
)

const (
	// zoneOneWay is the latency between zones.
	zoneOneWay = 1400 * time.Microsecond
	// zoneByteCost is the price of a byte between zones, the same as in core/placement.
	zoneByteCost = 2500 * time.Nanosecond
	// zoneRequestBytes is the assumed mean size of a request and its response.
	zoneRequestBytes = 2000
	// ownDemandTTL is how long the demand that a gateway reported counts. It spans several messages, since some may be lost.
	ownDemandTTL = time.Second
	// aggregationDelay is the time for which a gateway has to be an aggregator before it sends sums. A gateway that has just started
	// knows no other ones, and would state its own demand as that of the zone.
	aggregationDelay = time.Second
)

// ownDemand is the demand of one gateway, in seconds of target work per second by service.
type ownDemand struct {
	at       time.Time
	services map[waxwingpick.ServiceName]float64
}

// serviceShares is the decision for one service.
type serviceShares struct {
	decider *zoneshare.Decider
	// zones are the other zones that the decider knows.
	zones waxwingpick.Set[waxwingpick.AvailabilityZone]
	// figures are the newest ones of each zone, logged those shares that were last logged.
	figures map[waxwingpick.AvailabilityZone]zoneshare.ZoneFigures
	logged  map[waxwingpick.AvailabilityZone]float64
}

// zoneShares decides which requests go to other zones, and exchanges the figures for that with other gateways. Its methods are safe
// for concurrent use.
type zoneShares struct {
	gossip  *gossip
	process *Process

	mu       sync.Mutex
	demands  map[waxwingpick.InstanceID]ownDemand
	services map[waxwingpick.ServiceName]*serviceShares
	// unforwarded are reports of other zones that this gateway forwards within its own.
	unforwarded map[waxwingpick.AvailabilityZone]receivedReport
	// lastDemand, lastReports and lastToZones are when this gateway last sent its demand, reports within its zone and its zone's report
	// to other zones.
	lastDemand, lastReports, lastToZones time.Time
	// aggregatesSince is when this gateway became an aggregator; zero if it is none.
	aggregatesSince time.Time
}

func newZoneShares(g *gossip) *zoneShares {
	return &zoneShares{
		gossip:      g,
		process:     g.process,
		demands:     make(map[waxwingpick.InstanceID]ownDemand),
		services:    make(map[waxwingpick.ServiceName]*serviceShares),
		unforwarded: make(map[waxwingpick.AvailabilityZone]receivedReport),
	}
}

// step updates the shares and sends what is due.
func (z *zoneShares) step(now time.Time) {
	loads := z.loads(now)
	z.trackAggregation(now)
	z.sendDemand(now, loads)
	z.sendReports(now, loads)
	for name, load := range loads {
		z.update(now, name, load)
	}
}

// loads returns the load of this zone, and the demand of this gateway, for each service with engines.
func (z *zoneShares) loads(now time.Time) map[waxwingpick.ServiceName]placement.ZoneLoad {
	loads := make(map[waxwingpick.ServiceName]placement.ZoneLoad)
	for _, s := range z.process.allServices() {
		if load, engines := s.zoneLoad(now); engines {
			loads[s.name] = load
		}
	}
	return loads
}

func (z *zoneShares) trackAggregation(now time.Time) {
	aggregates := z.gossip.aggregates(now)
	z.mu.Lock()
	defer z.mu.Unlock()
	switch {
	case !aggregates:
		z.aggregatesSince = time.Time{}
	case z.aggregatesSince.IsZero():
		z.aggregatesSince = now
	}
	maps.DeleteFunc(z.demands, func(_ waxwingpick.InstanceID, d ownDemand) bool {
		return now.Sub(d.at) > ownDemandTTL
	})
}

// sums returns the figures of this zone; false if this gateway does not aggregate them.
func (z *zoneShares) sums(now time.Time, loads map[waxwingpick.ServiceName]placement.ZoneLoad) (zoneReport, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.aggregatesSince.IsZero() || now.Sub(z.aggregatesSince) < aggregationDelay {
		return zoneReport{}, false
	}
	report := zoneReport{
		Zone:     z.process.options.Zone,
		Services: make(map[waxwingpick.ServiceName]zoneFigures, len(loads)),
	}
	for name, load := range loads {
		demand := load.Demand
		for _, d := range z.demands {
			demand += d.services[name]
		}
		demand, wait := min(demand, maxZoneWork), min(load.Wait, maxZoneWait)
		report.Services[name] = zoneFigures{
			Demand:     demand,
			Capacity:   load.Capacity,
			WaitMillis: wait.Milliseconds(),
			Room:       zoneshare.Room(demand, load.Capacity, wait),
		}
	}
	return report, true
}

// observe applies a report that was made at a time.
func (z *zoneShares) observe(now, at time.Time, r zoneReport) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for name, f := range r.Services {
		s, ok := z.services[name]
		if !ok || r.Zone != z.process.options.Zone && !s.zones.Has(r.Zone) || !at.After(s.figures[r.Zone].At) {
			continue
		}
		figures := zoneshare.ZoneFigures{
			Zone:     r.Zone,
			Demand:   f.Demand,
			Capacity: f.Capacity,
			Wait:     time.Duration(f.WaitMillis) * time.Millisecond,
			Room:     f.Room,
			At:       at,
		}
		s.figures[r.Zone] = figures
		s.decider.Observe(now, figures)
	}
}

// update moves the shares of a service.
func (z *zoneShares) update(now time.Time, name waxwingpick.ServiceName, load placement.ZoneLoad) {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.serviceShares(now, name, load.Others)
	for zone := range s.figures {
		if zone != z.process.options.Zone && !load.Others.Has(zone) {
			s.decider.Remove(zone)
			delete(s.figures, zone)
		}
	}
	s.decider.Update(now)
	shares := make(map[waxwingpick.AvailabilityZone]float64)
	for _, share := range s.decider.Shares() {
		shares[share.Zone] = share.Fraction
	}
	changed := false
	for _, zone := range s.zones.Sorted() {
		z.process.options.Metrics.ZoneShare(name, z.process.options.Zone, zone, shares[zone])
		before, share := s.logged[zone], shares[zone]
		changed = changed || (before > 0) != (share > 0) || math.Abs(share-before) >= zoneshare.Step
	}
	if changed {
		s.logged = shares
		z.log(now, name, s)
	}
}

// log logs the shares of a service with their inputs. Changes of less than a step are not logged, since shares follow the demand.
func (z *zoneShares) log(now time.Time, name waxwingpick.ServiceName, s *serviceShares) {
	inputs := make(map[waxwingpick.AvailabilityZone]map[string]any, len(s.figures))
	for zone, f := range s.figures {
		inputs[zone] = map[string]any{
			"demand":    f.Demand,
			"capacity":  f.Capacity,
			"room":      f.Room,
			"waitMs":    f.Wait.Milliseconds(),
			"ageMillis": now.Sub(f.At).Milliseconds(),
		}
	}
	z.process.log.WithFields(logrus.Fields{
		"service": name,
		"shares":  s.logged,
		"inputs":  inputs,
	}).Info("shares of requests for other zones changed")
}

// serviceShares returns the decision for a service. One with a zone that the former decision does not know starts without shares.
func (z *zoneShares) serviceShares(now time.Time, name waxwingpick.ServiceName, others waxwingpick.Set[waxwingpick.AvailabilityZone]) *serviceShares {
	s, ok := z.services[name]
	if ok && !slices.ContainsFunc(others.Sorted(), func(zone waxwingpick.AvailabilityZone) bool { return !s.zones.Has(zone) }) {
		return s
	}
	terms := zoneshare.Terms{
		Links:        make(map[waxwingpick.AvailabilityZone]zoneshare.Link),
		RequestBytes: zoneRequestBytes,
	}
	for _, zone := range others.Sorted() {
		terms.Links[zone] = zoneshare.Link{
			OneWay:      zoneOneWay,
			CostPerByte: zoneByteCost,
		}
	}
	fresh := &serviceShares{
		decider: zoneshare.New(z.process.options.Zone, terms),
		zones:   others,
		figures: make(map[waxwingpick.AvailabilityZone]zoneshare.ZoneFigures),
		logged:  make(map[waxwingpick.AvailabilityZone]float64),
	}
	if ok {
		for zone := range s.logged {
			z.process.options.Metrics.ZoneShare(name, z.process.options.Zone, zone, 0)
		}
		fresh.logged = s.logged
		for _, f := range s.figures {
			fresh.figures[f.Zone] = f
			fresh.decider.Observe(now, f)
		}
	}
	z.services[name] = fresh
	return fresh
}

// shareZone returns the zone whose share a prompt belongs to; empty for the local zone.
func (p *Process) shareZone(name waxwingpick.ServiceName, parts placement.Parts) waxwingpick.AvailabilityZone {
	if p.shares == nil {
		return ""
	}
	key, ok := parts.SharedKey()
	if !ok {
		return ""
	}
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	s, ok := p.shares.services[name]
	if !ok {
		return ""
	}
	zone, _ := s.decider.Zone(key)
	return zone
}

// countZone counts a request that is sent to another zone because of its share.
func (x *exchange) countZone(c selection) {
	if zone := x.process.shareZone(x.service.name, x.parts); zone != "" && c.target.Zone == zone {
		x.process.options.Metrics.ZoneRequest(x.service.name, x.process.options.Zone, zone)
	}
}
