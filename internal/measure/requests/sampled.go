package main

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/internal/virtual"
)

// The fleet in which entries hold the load of a sample of the targets, one in four of the size that is planned for.
const (
	largeEngines = 150
	largeEntries = 100
	probePeriod  = 100 * time.Millisecond
)

// sampledBalancer asks for the reports that its router wants, as an entry of a large fleet does, and takes those that
// come with the ends of its own attempts.
type sampledBalancer struct {
	*virtual.Routed
	router   *routing.Router
	sidecars map[waxwingpick.TargetID]*virtual.Sidecar
	wanted   []waxwingpick.TargetID
}

// Observe ignores the reports that are sent to all entries.
func (*sampledBalancer) Observe(time.Time, waxwingpick.TargetID, waxwingpick.TargetLoad) {}

// Ended passes the end of an attempt and the report that comes with it on to the router.
func (b *sampledBalancer) Ended(now time.Time, p virtual.Pick, result routing.Result) {
	b.Routed.Ended(now, p, result)
	b.ask(now, p.Target)
}

// probe asks the targets whose reports are due.
func (b *sampledBalancer) probe(now time.Time) {
	b.wanted = b.router.Probes(now, b.wanted[:0])
	for _, id := range b.wanted {
		b.ask(now, id)
	}
}

func (b *sampledBalancer) ask(now time.Time, id waxwingpick.TargetID) {
	b.Routed.Observe(now, id, b.sidecars[id].Load())
}

// withSample returns a policy whose entries hold the loads of a sample.
func withSample(p policy, sample routing.Sample) policy {
	p.name = fmt.Sprintf("%s, %d targets and %d for prefixes, %.0f probes/s", ownName, sample.Total, sample.Extra, sample.PerSecond)
	p.balancer = func(in balancerInput) (virtual.Balancer, error) {
		r, err := newRouter(in)
		if err != nil {
			return nil, err
		}
		r.SetSample(in.now, sample)
		b := &sampledBalancer{
			Routed:   virtual.NewRouted(r),
			router:   r,
			sidecars: make(map[waxwingpick.TargetID]*virtual.Sidecar, len(in.sidecars)),
		}
		for _, s := range in.sidecars {
			b.sidecars[s.Engine().Spec().ID] = s
		}
		in.every(probePeriod, b.probe)
		return b, nil
	}
	return p
}

// sampleSizes have the same probes a second, so that a smaller sample has younger reports.
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

// sampleTables prints what holding the loads of some targets costs where the fleet is large.
func (m measurement) sampleTables(load float64) error {
	var own policy
	ps := baselines()
	for _, p := range policies() {
		if p.name == ownName {
			own = p
		}
	}
	ps = append(ps, own)
	for _, sample := range sampleSizes() {
		ps = append(ps, withSample(own, sample))
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
