package plan

import (
	"cmp"
	"slices"

	"waxwingpick"
)

// Wanted is the wanted state of one target.
type Wanted struct {
	ID       waxwingpick.TargetID
	Instance waxwingpick.InstanceID
	Zone     waxwingpick.AvailabilityZone
	Config   waxwingpick.EngineConfig
}

// Desired is the whole wanted state of a service.
type Desired struct {
	// ConfigRevision is the configuration revision that it was derived from.
	ConfigRevision int64
	Targets        []Wanted
}

// Reconcile returns the record that follows base so that it matches the desired state, and whether it differs from
// base; each target whose configuration changes gets the next order number. Revision and change ID stay as they are.
func Reconcile(base Record, desired Desired) (Record, bool) {
	next := base
	next.ConfigRevision = max(base.ConfigRevision, desired.ConfigRevision)
	next.Targets = make([]Target, 0, len(desired.Targets))
	known := make(map[waxwingpick.TargetID]Target, len(base.Targets))
	for _, t := range base.Targets {
		known[t.ID] = t
	}
	for _, w := range sortWanted(desired.Targets) {
		next.Targets = append(next.Targets, next.reconcileTarget(known[w.ID], w))
	}
	changed := next.ConfigRevision != base.ConfigRevision || !slices.Equal(next.Targets, base.Targets)
	return next, changed
}

func (r *Record) reconcileTarget(old Target, w Wanted) Target {
	t := Target{
		ID:       w.ID,
		Instance: w.Instance,
		Zone:     w.Zone,
		Order:    old.Order,
	}
	if t.Order.Number > 0 && t.Order.Config == w.Config {
		return t
	}
	t.Order = waxwingpick.EngineOrder{
		Number: r.NextOrder,
		Config: w.Config,
	}
	r.NextOrder++
	return t
}

func sortWanted(wanted []Wanted) []Wanted {
	sorted := slices.Clone(wanted)
	slices.SortStableFunc(sorted, func(a, b Wanted) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return slices.CompactFunc(sorted, func(a, b Wanted) bool {
		return a.ID == b.ID
	})
}

// Desired returns the desired state that the record already matches.
func (r Record) Desired() Desired {
	d := Desired{
		ConfigRevision: r.ConfigRevision,
		Targets:        make([]Wanted, 0, len(r.Targets)),
	}
	for _, t := range r.Targets {
		d.Targets = append(d.Targets, Wanted{
			ID:       t.ID,
			Instance: t.Instance,
			Zone:     t.Zone,
			Config:   t.Order.Config,
		})
	}
	return d
}

// Target returns the named target of the record.
func (r Record) Target(id waxwingpick.TargetID) waxwingpick.Option[Target] {
	for _, t := range r.Targets {
		if t.ID == id {
			return waxwingpick.Some(t)
		}
	}
	return waxwingpick.None[Target]()
}
