package policy

import (
	"math"
	"time"

	"waxwingpick"
)

// loadWindow is the time over which loads from the weight store are bounded.
const loadWindow = time.Minute

// loads bounds how many engines are told to load weights in any window.
type loads struct {
	times []time.Time
	// heldBefore says that another holder of the authority may have used up the window before since.
	heldBefore bool
	since      time.Time
}

// take reports whether one more load fits into the window, and counts it.
func (l *loads) take(now time.Time, perMinute float64) bool {
	if perMinute <= 0 {
		return true
	}
	window := max(loadWindow, time.Duration(float64(loadWindow)/perMinute))
	most := max(1, int(math.Floor(perMinute)))
	if l.heldBefore && now.Sub(l.since) < window {
		return false
	}
	kept := l.times[:0]
	for _, at := range l.times {
		if now.Sub(at) < window {
			kept = append(kept, at)
		}
	}
	l.times = kept
	if len(l.times) >= most {
		return false
	}
	l.times = append(l.times, now)
	return true
}

// Reload returns those of the targets that may load other weights now, and counts them as started; it is a change like
// that of a role, but for the price.
func (d *Decider) Reload(now time.Time, engines []Engine, targets waxwingpick.Set[waxwingpick.TargetID], rules Rules, allow func() bool) []waxwingpick.TargetID {
	if d.since.IsZero() || now.Sub(d.since) < d.quarantine(rules) {
		return nil
	}
	f := d.fleet(now, engines, rules)
	var started []waxwingpick.TargetID
	for i, e := range engines {
		if !targets.Has(e.Target) || !f.free[i] || f.inFlight[e.Zone] >= rules.InFlight {
			continue
		}
		if !f.spares(e.Role) || !f.holds(i) || !allow() {
			continue
		}
		f.start(Change{
			Target: e.Target,
			From:   e.Role,
			To:     e.Role,
		})
		d.started[e.Target] = now
		started = append(started, e.Target)
	}
	return started
}
