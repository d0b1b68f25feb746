package plan

import (
	"cmp"
	"slices"

	"waxwingpick"
)

// DesiredTarget is the desired state of one target.
type DesiredTarget struct {
	ID       waxwingpick.TargetID
	Instance waxwingpick.InstanceID
	Zone     waxwingpick.AvailabilityZone
	Config   waxwingpick.EngineConfig
}

// Desired is the complete desired state of a service.
type Desired struct {
	// ConfigRevision is the configuration revision from which the state was derived.
	ConfigRevision int64
	Targets        []DesiredTarget
}

// Reconcile returns base updated to the desired state, and whether it differs from base. Each target whose
// configuration changes gets the next order number. Revision and change ID are not updated.
func Reconcile(base Record, desired Desired) (Record, bool) {
	next := base
	next.ConfigRevision = max(base.ConfigRevision, desired.ConfigRevision)
	next.Targets = make([]Target, 0, len(desired.Targets))
	current := make(map[waxwingpick.TargetID]Target, len(base.Targets))
	for _, t := range base.Targets {
		current[t.ID] = t
	}
	for _, w := range sortDesired(desired.Targets) {
		next.Targets = append(next.Targets, next.reconcileTarget(current[w.ID], w))
	}
	changed := next.ConfigRevision != base.ConfigRevision || !slices.Equal(next.Targets, base.Targets)
	return next, changed
}

func (r *Record) reconcileTarget(old Target, w DesiredTarget) Target {
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

func sortDesired(targets []DesiredTarget) []DesiredTarget {
	sorted := slices.Clone(targets)
	slices.SortStableFunc(sorted, func(a, b DesiredTarget) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return slices.CompactFunc(sorted, func(a, b DesiredTarget) bool {
		return a.ID == b.ID
	})
}

// Desired returns the desired state that corresponds to the record.
func (r Record) Desired() Desired {
	d := Desired{
		ConfigRevision: r.ConfigRevision,
		Targets:        make([]DesiredTarget, 0, len(r.Targets)),
	}
	for _, t := range r.Targets {
		d.Targets = append(d.Targets, DesiredTarget{
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
