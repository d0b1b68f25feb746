package policy

import (
	"time"

	"waxwingpick"
)

// fleet is what a decision works on: the engines as they are and as they will be when all changes are done.
type fleet struct {
	rules   Rules
	engines []Engine
	// free tells of each engine whether it serves and may change.
	free []bool
	// inFlight counts the changes that run in each availability zone.
	inFlight map[waxwingpick.AvailabilityZone]int
	// serving counts engines that serve now, coming also those that are expected soon, assigned all that have a role.
	serving  Capacity
	coming   Capacity
	assigned Capacity
}

func (d *Decider) fleet(now time.Time, engines []Engine, rules Rules) *fleet {
	f := &fleet{
		rules:    rules,
		engines:  engines,
		free:     make([]bool, len(engines)),
		inFlight: make(map[waxwingpick.AvailabilityZone]int),
	}
	for i, e := range engines {
		if e.Leaving {
			continue
		}
		f.assigned.add(e.Role, 1)
		since, unready := d.unready[e.Target]
		if !unready || now.Sub(since) < patience {
			f.coming.add(e.Role, 1)
		}
		if _, changing := d.started[e.Target]; changing || !e.Ready {
			// One that is not ready may have crashed, or another holder may have told it to change.
			f.inFlight[e.Zone]++
			continue
		}
		f.free[i] = true
		f.serving.add(e.Role, 1)
	}
	return f
}

// repair returns a change that brings the roles closer to the preset's bounds.
func (f *fleet) repair() (Change, bool) {
	for _, to := range waxwingpick.Roles() {
		if f.coming.of(to) >= f.rules.Of(to).Min {
			continue
		}
		for _, from := range f.donors() {
			if c, ok := f.candidate(from, to); ok {
				return c, true
			}
		}
	}
	for _, from := range waxwingpick.Roles() {
		if f.assigned.of(from) <= f.rules.Of(from).Max {
			continue
		}
		for _, to := range waxwingpick.Roles() {
			if c, ok := f.candidate(from, to); ok {
				return c, true
			}
		}
	}
	return Change{}, false
}

// donors returns the roles, those above their largest number first.
func (f *fleet) donors() []waxwingpick.Role {
	var above, within []waxwingpick.Role
	for _, role := range waxwingpick.Roles() {
		if f.assigned.of(role) > f.rules.Of(role).Max {
			above = append(above, role)
		} else {
			within = append(within, role)
		}
	}
	return append(above, within...)
}

// candidate returns the change of the emptiest engine of a role, if the bounds, the changes in flight and what
// runs allow one.
func (f *fleet) candidate(from, to waxwingpick.Role) (Change, bool) {
	if from == to || f.assigned.of(to) >= f.rules.Of(to).Max || !f.spares(from) {
		return Change{}, false
	}
	best := -1
	for i, e := range f.engines {
		if !f.free[i] || e.Role != from || f.inFlight[e.Zone] >= f.rules.InFlight {
			continue
		}
		if best < 0 || e.Running < f.engines[best].Running {
			best = i
		}
	}
	if best < 0 || !f.holds(best) {
		return Change{}, false
	}
	return Change{
		Target: f.engines[best].Target,
		From:   from,
		To:     to,
	}, true
}

// spares reports whether a role keeps its least number without one engine, counting only engines that serve now.
func (f *fleet) spares(role waxwingpick.Role) bool {
	return f.serving.of(role) > f.rules.Of(role).Min
}

// holds reports whether the engines that keep serving have the slots for all that runs in the roles of the engine.
func (f *fleet) holds(leaves int) bool {
	running, slots := 0, 0
	for i, e := range f.engines {
		if !f.free[i] || !shares(e.Role, f.engines[leaves].Role) {
			continue
		}
		running += e.Running
		if i != leaves {
			slots += e.Slots
		}
	}
	return running <= slots
}

// shares reports whether engines of two roles take the same kind of work.
func shares(a, b waxwingpick.Role) bool {
	return a == b || a == waxwingpick.RoleMixed || b == waxwingpick.RoleMixed
}

// start counts a change as running.
func (f *fleet) start(c Change) {
	for i, e := range f.engines {
		if e.Target != c.Target {
			continue
		}
		f.free[i] = false
		f.inFlight[e.Zone]++
		f.serving.add(c.From, -1)
		f.coming = f.coming.moved(c.From, c.To)
		f.assigned = f.assigned.moved(c.From, c.To)
	}
}
