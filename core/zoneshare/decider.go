package zoneshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

const (
	// UpdatePeriod is the time between two updates; earlier calls of Update have no effect.
	UpdatePeriod = 100 * time.Millisecond
	// Step limits the change of a share in one update.
	Step = 0.1
	// SettleUpdates is the number of updates after which the shares are constant, and no two zones send to each other, if
	// the figures are constant and at most a second old: up to 20 for the trend of the demand to vanish and 10 steps.
	SettleUpdates = 30
	// Rest limits the share of a zone whose figures are older than ten seconds. Such a zone is assumed to have its mean
	// demand and no waiting work.
	Rest = 0.1
	// forgetAge is the age from which a zone counts as missing and gets nothing.
	forgetAge = 30 * time.Second
	// MaxShare limits the sum of the shares. The remainder measures the zone's own targets.
	MaxShare = 0.9
	// shareBand is the change of a target share that is ignored, since each change moves requests away from their cache.
	shareBand = 0.01
	// defaultEnter and defaultLeave are the net gains of a request above which sending to a zone begins, and below which
	// it ends.
	defaultEnter = 30 * time.Millisecond
	defaultLeave = 10 * time.Millisecond
)

// Link is a connection to another zone.
type Link struct {
	OneWay time.Duration
	// CostPerByte is the price of a byte as an equivalent time.
	CostPerByte time.Duration
}

// Terms configures a Decider.
type Terms struct {
	// Links holds the other zones that may receive requests. Figures of other zones are ignored.
	Links map[waxwingpick.AvailabilityZone]Link
	// RequestBytes is the mean size of a request and its response.
	RequestBytes int
	// Enter and Leave are the hysteresis thresholds of the net gain; zero means the defaults.
	Enter, Leave time.Duration
}

// Share is the fraction of a zone's requests that is sent to another zone.
type Share struct {
	Zone     waxwingpick.AvailabilityZone
	Fraction float64
}

// Decider decides for one service of one zone. It is not safe for concurrent use.
type Decider struct {
	self    waxwingpick.AvailabilityZone
	terms   Terms
	home    zoneState
	peers   []*peer
	updated time.Time
}

// peer is another zone that may receive requests.
type peer struct {
	zoneState
	zone waxwingpick.AvailabilityZone
	link Link
	// open means that sending pays, according to the hysteresis.
	open  bool
	share float64
}

// New returns a Decider that sends nothing.
func New(zone waxwingpick.AvailabilityZone, t Terms) *Decider {
	if t.Enter <= 0 {
		t.Enter = defaultEnter
	}
	if t.Leave <= 0 {
		t.Leave = defaultLeave
	}
	t.Leave = min(t.Leave, t.Enter)
	d := &Decider{
		self:  zone,
		terms: t,
	}
	for _, name := range slices.Sorted(maps.Keys(t.Links)) {
		if name != zone {
			d.peers = append(d.peers, &peer{
				zone: name,
				link: t.Links[name],
			})
		}
	}
	return d
}

// SetLink replaces the properties of a link, as measured; unknown zones are ignored.
func (d *Decider) SetLink(zone waxwingpick.AvailabilityZone, l Link) {
	for _, p := range d.peers {
		if p.zone == zone {
			p.link = l
		}
	}
}

// Observe records the figures of a zone, unless newer ones are known. Times in the future count as now.
func (d *Decider) Observe(now time.Time, f ZoneFigures) {
	if f.At.After(now) {
		f.At = now
	}
	if f.Zone == d.self {
		d.home.observe(f)
		return
	}
	for _, p := range d.peers {
		if p.zone == f.Zone {
			p.observe(f)
		}
	}
}

// Remove forgets a zone that has no targets or is unreachable; it gets nothing from now on.
func (d *Decider) Remove(zone waxwingpick.AvailabilityZone) {
	for _, p := range d.peers {
		if p.zone == zone {
			p.zoneState, p.open, p.share = zoneState{}, false, 0
		}
	}
}

// Update moves the shares towards those that pay, and reports whether one changed.
func (d *Decider) Update(now time.Time) bool {
	if now.Sub(d.updated) < UpdatePeriod {
		return false
	}
	d.updated = now
	targets := d.targets(now)
	changed, total := false, 0.0
	for i, p := range d.peers {
		before := p.share
		if diff := targets[i] - p.share; targets[i] == 0 || diff >= shareBand || diff <= -shareBand {
			p.share += min(Step, max(-Step, diff))
		} else {
			p.share = min(p.share, maxShare(weight(now.Sub(p.figures.At))))
		}
		total += p.share
		changed = changed || p.share != before
	}
	if total > MaxShare {
		for _, p := range d.peers {
			p.share *= MaxShare / total
		}
	}
	return changed
}

// targets returns the share that pays for each zone.
func (d *Decider) targets(now time.Time) []float64 {
	median := d.medianCapacity(now)
	home := d.home.bound(now, median)
	loads := make([]bounded, len(d.peers))
	needs, room := []float64{home.need()}, 0.0
	for i, p := range d.peers {
		loads[i] = p.bound(now, median)
		room += loads[i].room
		if n := loads[i].need(); n > 0 {
			needs = append(needs, n)
		}
	}
	part := fairPart(home.need(), room, needs)
	var outlets []outlet
	var open []int
	for i, p := range d.peers {
		if p.decide(d, home, loads[i]) && part > 0 {
			open = append(open, i)
			outlets = append(outlets, outlet{
				zone:  loads[i],
				limit: min(loads[i].room*part, home.demand*maxShare(loads[i].weight)),
				part:  part,
				price: p.price(d.terms),
			})
		}
	}
	targets := make([]float64, len(d.peers))
	if home.demand > 0 {
		for i, work := range fill(home, outlets) {
			targets[open[i]] = home.weight * work / home.demand
		}
	}
	limitTotal(targets, MaxShare)
	return targets
}

// maxShare returns the limit of a zone's share by the weight of its figures.
func maxShare(weight float64) float64 {
	return Rest + weight*(MaxShare-Rest)
}

// decide applies the hysteresis to the gain of the first request that leaves, and reports whether sending pays. Of two
// zones only the one with the higher utilisation sends; if they are equal, the one with the higher name may.
func (p *peer) decide(d *Decider, home, there bounded) bool {
	if there.capacity <= 0 || home.need() <= 0 {
		p.open = false
		return false
	}
	hu, tu := home.utilisation(), there.utilisation()
	gain := marginalCost(hu) - marginalCost(tu) - p.linkCost(d.terms)
	threshold := d.terms.Enter
	if p.open {
		threshold = d.terms.Leave
	}
	p.open = gain > threshold.Seconds() && cmp.Or(cmp.Compare(hu, tu), cmp.Compare(d.self, p.zone)) > 0
	return p.open
}

// linkCost returns the cost of the link for a request, in seconds.
func (p *peer) linkCost(t Terms) float64 {
	return 2*p.link.OneWay.Seconds() + float64(t.RequestBytes)*p.link.CostPerByte.Seconds()
}

// price returns the cost difference at which the next request stays, in seconds.
func (p *peer) price(t Terms) float64 {
	return p.linkCost(t) + t.Leave.Seconds()
}

// medianCapacity returns the median of the zones' capacities. Zones that state none, or none that is possible, don't
// count.
func (d *Decider) medianCapacity(now time.Time) float64 {
	var capacities []float64
	add := func(z zoneState) {
		if z.known && z.valid && z.figures.Capacity > 0 && now.Sub(z.figures.At) <= forgetAge {
			capacities = append(capacities, z.figures.Capacity)
		}
	}
	add(d.home)
	for _, p := range d.peers {
		add(p.zoneState)
	}
	return lowerMedian(capacities)
}

// limitTotal scales the shares so that their sum is at most limit.
func limitTotal(shares []float64, limit float64) {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	if total > limit {
		for i := range shares {
			shares[i] *= limit / total
		}
	}
}

// Shares returns the zones that receive requests, by name; the remainder stays local.
func (d *Decider) Shares() []Share {
	var shares []Share
	for _, p := range d.peers {
		if p.share > 0 {
			shares = append(shares, Share{
				Zone:     p.zone,
				Fraction: p.share,
			})
		}
	}
	return shares
}

// Zone returns the zone for a request by the hash of its prompt's shared parts; false if it stays in the local zone.
//
// Each of the n other zones has a block of 1/n of the hashes, and takes the beginning of it. If a share changes by x,
// only a fraction x of the hashes moves. A share above 1/n also takes the free ends of the other blocks; if one of
// these is taken from it, the fraction is at most 2x.
func (d *Decider) Zone(hash uint64) (waxwingpick.AvailabilityZone, bool) {
	n := float64(len(d.peers))
	position := float64(hash>>11) / (1 << 53) * n
	block := int(position)
	if block >= len(d.peers) {
		return "", false
	}
	// Lengths are in blocks from here on.
	if position -= float64(block); position < d.peers[block].share*n {
		return d.peers[block].zone, true
	}
	// free is the length of the free ends above this position.
	free := 1 - position
	for _, p := range d.peers[block+1:] {
		free += max(0, 1-p.share*n)
	}
	for _, p := range d.peers {
		if free -= max(0, p.share*n-1); free <= 0 {
			return p.zone, true
		}
	}
	return "", false
}
