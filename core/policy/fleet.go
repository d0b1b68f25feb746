package policy

import (
	"time"

	"waxwingpick"
)

// fleet is the state on which a decision is based: the current engines, and those expected when all changes are done.
type fleet struct {
	rules   Rules
	engines []Engine
	// free holds for each engine whether it is serving and may change.
	free []bool
	// inFlight counts the running changes in each availability zone.
	inFlight map[waxwingpick.AvailabilityZone]int
	// serving counts the engines that serve now, expected also those that are about to serve, and assigned all engines
	// that have a role.
	serving  Capacity
	expected Capacity
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
		if !unready || now.Sub(since) < unreadyTimeout {
			f.expected.add(e.Role, 1)
		}
		if _, changing := d.started[e.Target]; changing || !e.Ready {
			// An engine that is not ready may have crashed, or another holder may have ordered a change.
			f.inFlight[e.Zone]++
			continue
		}
		f.free[i] = true
		f.serving.add(e.Role, 1)
	}
	return f
}

// repair returns a change that reduces a violation of the preset's bounds.
func (f *fleet) repair() (Change, bool) {
	for _, to := range waxwingpick.Roles() {
		if f.expected.of(to) >= f.rules.Of(to).Min {
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

// donors returns the roles from which to take an engine, those above their maximum first.
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

// candidate returns the change of the role's engine with the fewest running requests, if the bounds, the changes in
// flight and the running requests allow one.
func (f *fleet) candidate(from, to waxwingpick.Role) (Change, bool) {
	if from == to || f.assigned.of(to) >= f.rules.Of(to).Max || !f.canSpare(from) {
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
	if best < 0 || !f.fits(best) {
		return Change{}, false
	}
	return Change{
		Target: f.engines[best].Target,
		From:   from,
		To:     to,
	}, true
}

// canSpare reports whether a role keeps its minimum without one engine, counting only engines that serve now.
func (f *fleet) canSpare(role waxwingpick.Role) bool {
	return f.serving.of(role) > f.rules.Of(role).Min
}

// fits reports whether the requests that run in the role of an engine fit into the slots of the other engines.
func (f *fleet) fits(removed int) bool {
	running, slots := 0, 0
	for i, e := range f.engines {
		if !f.free[i] || !shares(e.Role, f.engines[removed].Role) {
			continue
		}
		running += e.Running
		if i != removed {
			slots += e.Slots
		}
	}
	return running <= slots
}

// shares reports whether engines in the two roles can run the same kind of work.
func shares(a, b waxwingpick.Role) bool {
	return a == b || a == waxwingpick.RoleMixed || b == waxwingpick.RoleMixed
}

// start records a change as running.
func (f *fleet) start(c Change) {
	for i, e := range f.engines {
		if e.Target != c.Target {
			continue
		}
		f.free[i] = false
		f.inFlight[e.Zone]++
		f.serving.add(c.From, -1)
		f.expected = f.expected.moved(c.From, c.To)
		f.assigned = f.assigned.moved(c.From, c.To)
	}
}
