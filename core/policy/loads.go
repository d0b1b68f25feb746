package policy

import (
	"math"
	"time"

	"waxwingpick"
)

// loadWindow is the period over which loads from the weight store are bounded.
const loadWindow = time.Minute

// loads bounds the number of engines that are ordered to load weights in any window.
type loads struct {
	times []time.Time
	// heldBefore is set if another holder of the authority may have used up the window before since.
	heldBefore bool
	since      time.Time
}

// take reports whether one more load fits into the window, and counts it if so.
func (l *loads) take(now time.Time, perMinute float64) bool {
	if perMinute <= 0 {
		return true
	}
	window := max(loadWindow, time.Duration(float64(loadWindow)/perMinute))
	maxLoads := max(1, int(math.Floor(perMinute)))
	if l.heldBefore && now.Sub(l.since) < window {
		return false
	}
	recent := l.times[:0]
	for _, at := range l.times {
		if now.Sub(at) < window {
			recent = append(recent, at)
		}
	}
	l.times = recent
	if len(l.times) >= maxLoads {
		return false
	}
	l.times = append(l.times, now)
	return true
}

// Reload returns those of the targets that may load other weights now, and records them as started. The rules for role
// changes apply except for the price.
func (d *Decider) Reload(now time.Time, engines []Engine, targets waxwingpick.Set[waxwingpick.TargetID], rules Rules, allow func() bool) []waxwingpick.TargetID {
	if d.since.IsZero() || now.Sub(d.since) < d.changeDelay(rules) {
		return nil
	}
	f := d.fleet(now, engines, rules)
	var started []waxwingpick.TargetID
	for i, e := range engines {
		if !targets.Has(e.Target) || !f.free[i] || f.inFlight[e.Zone] >= rules.InFlight {
			continue
		}
		if !f.canSpare(e.Role) || !f.fits(i) || !allow() {
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
