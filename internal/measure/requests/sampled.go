package main

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/internal/virtual"
)

// Size of the fleet in which entries track the load of a sample of targets: a quarter of the largest planned fleet.
const (
	largeEngines = 150
	largeEntries = 100
	probePeriod  = 100 * time.Millisecond
)

// sampledBalancer observes only the reports that its router requests, as an entry of a large fleet does, and those that
// arrive with the ends of its attempts.
type sampledBalancer struct {
	*virtual.RouterBalancer
	router   *routing.Router
	sidecars map[waxwingpick.TargetID]*virtual.Sidecar
	due      []waxwingpick.TargetID
}

// Observe ignores reports that are sent to all entries.
func (*sampledBalancer) Observe(time.Time, waxwingpick.TargetID, waxwingpick.TargetLoad) {}

// Ended forwards the end of an attempt, and the report that arrives with it, to the router.
func (b *sampledBalancer) Ended(now time.Time, p virtual.Selection, result routing.Result) {
	b.RouterBalancer.Ended(now, p, result)
	b.readLoad(now, p.Target)
}

// probe reads the load of the targets whose reports are due.
func (b *sampledBalancer) probe(now time.Time) {
	b.due = b.router.Probes(now, b.due[:0])
	for _, id := range b.due {
		b.readLoad(now, id)
	}
}

func (b *sampledBalancer) readLoad(now time.Time, id waxwingpick.TargetID) {
	b.RouterBalancer.Observe(now, id, b.sidecars[id].Load())
}

// withSample returns a policy whose entries track the load of a sample of targets.
func withSample(p policy, sample routing.Sample) policy {
	p.name = fmt.Sprintf("%s, %d targets and %d for prefixes, %.0f probes/s", projectName, sample.Total, sample.Extra, sample.PerSecond)
	p.balancer = func(in balancerInput) (virtual.Balancer, error) {
		r, err := newRouter(in)
		if err != nil {
			return nil, err
		}
		r.SetSample(in.now, sample)
		b := &sampledBalancer{
			RouterBalancer: virtual.NewRouterBalancer(r),
			router:         r,
			sidecars:       make(map[waxwingpick.TargetID]*virtual.Sidecar, len(in.sidecars)),
		}
		for _, s := range in.sidecars {
			b.sidecars[s.Engine().Spec().ID] = s
		}
		in.every(probePeriod, b.probe)
		return b, nil
	}
	return p
}

// sampleSizes returns samples with the same probe rate, so that the reports of a smaller sample are newer.
func sampleSizes() []routing.Sample {
	var sizes []routing.Sample
	for _, held := range [][2]int{{5, 2}, {10, 4}, {20, 8}, {40, 8}} {
		sizes = append(sizes, routing.Sample{
			Total:     held[0],
			Extra:     held[1],
			PerSecond: 24,
		})
	}
	return sizes
}

// sampleTables prints the cost of tracking only a sample of targets in a large fleet.
func (m measurement) sampleTables(load float64) error {
	var base policy
	ps := baselines()
	for _, p := range policies() {
		if p.name == projectName {
			base = p
		}
	}
	ps = append(ps, base)
	for _, sample := range sampleSizes() {
		ps = append(ps, withSample(base, sample))
	}
	for _, f := range []fleet{tanzplan(), cacaotera()} {
		f.name = fmt.Sprintf("%s's load on %d engines and %d entries", f.name, largeEngines, largeEntries)
		f.engines = largeEngines
		f.entries = largeEntries
		for _, s := range scenarios(load) {
			if err := m.table(f, s, ps); err != nil {
				return err
			}
		}
	}
	return nil
}
