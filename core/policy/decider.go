package policy

import (
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// The defaults of a Decider.
const (
	DefaultHorizon           = 60 * time.Second
	DefaultDrainTime         = 10 * time.Second
	DefaultTargetUtilization = 0.85
	DefaultReportLag         = 5 * time.Second
	// DefaultConfidence is the forecast error that is allowed for, in standard deviations.
	DefaultConfidence = 2.5
	// unreadyTimeout is how long an engine without a matching report still counts as expected capacity.
	unreadyTimeout = time.Minute
	// minGain is the minimum gain in the served fraction. Smaller gains may be rounding errors.
	minGain = 1e-4
)

// Engine is the reported and planned state of one engine.
type Engine struct {
	Target waxwingpick.TargetID
	Zone   waxwingpick.AvailabilityZone
	// Role is the engine's role in the plan.
	Role waxwingpick.Role
	// Ready is set if the engine serves that role according to the newest report.
	Ready bool
	// Leaving is set if the engine's instance is leaving. It no longer counts as capacity.
	Leaving bool
	// Running and Slots are the current and the maximum number of concurrent requests.
	Running int
	Slots   int
}

// Reason is the reason of a role change.
type Reason uint8

// The reasons of role changes.
const (
	// ReasonBounds means that the preset's bounds require the change.
	ReasonBounds Reason = iota
	// ReasonGain means that the predicted gain exceeds the cost and the price.
	ReasonGain
)

// Change is one role change.
type Change struct {
	Target waxwingpick.TargetID
	From   waxwingpick.Role
	To     waxwingpick.Role
	Reason Reason
	// Gain is the predicted gain in requests completed in time, net of the cost but not of the price. It is zero for
	// ReasonBounds.
	Gain float64
}

// Decider decides on role changes of one service and tracks the changes that it started.
type Decider struct {
	horizon         time.Duration
	drainTime       time.Duration
	reportLag       time.Duration
	utilization     float64
	mixedEfficiency float64
	confidence      float64

	started map[waxwingpick.TargetID]time.Time
	// unready holds the time since which an engine has had no matching report.
	unready map[waxwingpick.TargetID]time.Time
	since   time.Time
}

// Option configures a Decider.
type Option func(*Decider) error

// Horizon sets the period over which a change has to pay off.
func Horizon(d time.Duration) Option {
	return func(x *Decider) error {
		if d <= 0 {
			return eris.New("horizon must be positive")
		}
		x.horizon = d
		return nil
	}
}

// DrainTime sets the expected duration of the drain before a change.
func DrainTime(d time.Duration) Option {
	return func(x *Decider) error {
		if d < 0 {
			return eris.New("drain time must not be negative")
		}
		x.drainTime = d
		return nil
	}
}

// ReportLag sets the maximum age of a report. An engine counts as changing for at least this long after a change.
func ReportLag(d time.Duration) Option {
	return func(x *Decider) error {
		if d < 0 {
			return eris.New("report lag must not be negative")
		}
		x.reportLag = d
		return nil
	}
}

// TargetUtilization sets the utilization above which responses start to miss their deadlines.
func TargetUtilization(u float64) Option {
	return func(x *Decider) error {
		if u <= 0 || u > 1 {
			return eris.New("target utilization must be above 0 and at most 1")
		}
		x.utilization = u
		return nil
	}
}

// MixedEfficiency sets the fraction of an engine's rates that remains in the mixed role.
func MixedEfficiency(e float64) Option {
	return func(x *Decider) error {
		if e <= 0 || e > 1 {
			return eris.New("mixed efficiency must be above 0 and at most 1")
		}
		x.mixedEfficiency = e
		return nil
	}
}

// Confidence sets the forecast error, in standard deviations, despite which a change must still pay off.
func Confidence(deviations float64) Option {
	return func(x *Decider) error {
		if deviations < 0 {
			return eris.New("confidence must not be negative")
		}
		x.confidence = deviations
		return nil
	}
}

// NewDecider returns a Decider without started changes. It fails if an option is out of bounds.
func NewDecider(opts ...Option) (*Decider, error) {
	d := &Decider{
		horizon:         DefaultHorizon,
		drainTime:       DefaultDrainTime,
		reportLag:       DefaultReportLag,
		utilization:     DefaultTargetUtilization,
		mixedEfficiency: DefaultMixedEfficiency,
		confidence:      DefaultConfidence,
		started:         make(map[waxwingpick.TargetID]time.Time),
		unready:         make(map[waxwingpick.TargetID]time.Time),
	}
	for _, opt := range opts {
		if err := opt(d); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Ahead returns how far ahead the demand should be forecast: to the middle of the horizon that follows the drain and
// the change.
func (d *Decider) Ahead(rules Rules) time.Duration {
	return d.drainTime + rules.ChangeTime + d.horizon/2
}

// Decide returns the role changes to start now, and records them as started. Without a demand it only repairs
// violations of the preset's bounds.
func (d *Decider) Decide(now time.Time, engines []Engine, demand waxwingpick.Option[Demand], rules Rules) []Change {
	if d.since.IsZero() {
		d.since = now
	}
	d.prune(now, engines, rules)
	if now.Sub(d.since) < d.changeDelay(rules) {
		// Reports may not show changes yet that a previous holder of the authority started.
		return nil
	}
	f := d.fleet(now, engines, rules)
	var changes []Change
	for range engines {
		c, ok := f.repair()
		if !ok {
			c, ok = d.best(f, demand)
		}
		if !ok {
			return changes
		}
		f.start(c)
		d.started[c.Target] = now
		changes = append(changes, c)
	}
	return changes
}

func (d *Decider) changeDelay(rules Rules) time.Duration {
	return rules.ChangeTime + d.reportLag
}

// prune updates the times since which engines are not ready. It removes finished changes and engines that are no longer
// listed.
func (d *Decider) prune(now time.Time, engines []Engine, rules Rules) {
	listed := waxwingpick.NewSet[waxwingpick.TargetID]()
	for _, e := range engines {
		listed.Add(e.Target)
		if _, ok := d.unready[e.Target]; !ok {
			d.unready[e.Target] = now
		}
		if e.Ready {
			delete(d.unready, e.Target)
		}
		at, ok := d.started[e.Target]
		if ok && e.Ready && now.Sub(at) >= d.changeDelay(rules) {
			delete(d.started, e.Target)
		}
	}
	for _, times := range []map[waxwingpick.TargetID]time.Time{d.started, d.unready} {
		maps.DeleteFunc(times, func(id waxwingpick.TargetID, _ time.Time) bool {
			return !listed.Has(id)
		})
	}
}

// best returns the change with the largest net gain, if one exceeds the price.
func (d *Decider) best(f *fleet, demand waxwingpick.Option[Demand]) (Change, bool) {
	m, ok := demand.Get()
	if !ok {
		return Change{}, false
	}
	best := Change{}
	found := false
	for _, from := range waxwingpick.Roles() {
		for _, to := range waxwingpick.Roles() {
			c, ok := f.candidate(from, to)
			if !ok {
				continue
			}
			c.Reason = ReasonGain
			c.Gain, ok = d.gain(f, m, from, to)
			if ok && c.Gain > f.rules.Price && (!found || c.Gain > best.Gain) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// gain predicts the requests that a change gains over the horizon, less those lost while the engine is unavailable.
func (d *Decider) gain(f *fleet, m Demand, from, to waxwingpick.Role) (float64, bool) {
	m = d.pessimistic(m, from, to)
	before := f.expected.Served(m, d.mixedEfficiency)
	after := f.expected.moved(from, to).Served(m, d.mixedEfficiency)
	if after-before < minGain {
		return 0, false
	}
	current := f.serving.Served(m, d.mixedEfficiency)
	reduced := f.serving.without(from).Served(m, d.mixedEfficiency)
	gained := (after - before) * d.horizon.Seconds()
	lost := (current - reduced) * (d.drainTime + f.rules.ChangeTime).Seconds()
	return m.RequestsPerSecond * (gained - lost), true
}

// pessimistic returns the demand scaled to the target utilization, with the forecast error applied in the direction
// that is least favorable to the change.
func (d *Decider) pessimistic(m Demand, from, to waxwingpick.Role) Demand {
	sign := -d.confidence
	if from == waxwingpick.RolePrefill || to == waxwingpick.RoleDecode {
		sign = d.confidence
	}
	m.PrefillEngines = max(0, m.PrefillEngines+sign*m.PrefillError) / d.utilization
	m.DecodeEngines = max(0, m.DecodeEngines-sign*m.DecodeError) / d.utilization
	return m
}
