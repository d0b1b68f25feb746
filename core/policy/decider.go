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
	// DefaultConfidence is the number of standard deviations by which a forecast may be wrong.
	DefaultConfidence = 2.5
	// patience is how long an engine without a fitting report is expected back.
	patience = time.Minute
	// minGain is the least gain in the served fraction that is told apart from rounding.
	minGain = 1e-4
)

// Engine is what is known of one engine.
type Engine struct {
	Target waxwingpick.TargetID
	Zone   waxwingpick.AvailabilityZone
	// Role is the role that the plan gives it.
	Role waxwingpick.Role
	// Ready says that the newest report shows it serving that role.
	Ready bool
	// Leaving says that its instance leaves; it is no capacity any more.
	Leaving bool
	// Running and Slots are the requests that it runs and may run at once.
	Running int
	Slots   int
}

// Reason says why a role is changed.
type Reason uint8

// The reasons of role changes.
const (
	// ReasonBounds means that the preset's bounds ask for it.
	ReasonBounds Reason = iota
	// ReasonGain means that the predicted gain exceeds cost and price.
	ReasonGain
)

// Change is one role change.
type Change struct {
	Target waxwingpick.TargetID
	From   waxwingpick.Role
	To     waxwingpick.Role
	Reason Reason
	// Gain is the predicted gain in requests answered in time, cost taken off, price not; zero for bounds.
	Gain float64
}

// Decider decides on role changes of one service; it remembers what it started.
type Decider struct {
	horizon         time.Duration
	drainTime       time.Duration
	reportLag       time.Duration
	utilization     float64
	mixedEfficiency float64
	confidence      float64

	started map[waxwingpick.TargetID]time.Time
	// unready tells since when an engine has no fitting report.
	unready map[waxwingpick.TargetID]time.Time
	since   time.Time
}

// Option sets up a Decider.
type Option func(*Decider) error

// Horizon sets the time over which a change has to pay.
func Horizon(d time.Duration) Option {
	return func(x *Decider) error {
		if d <= 0 {
			return eris.New("horizon must be positive")
		}
		x.horizon = d
		return nil
	}
}

// DrainTime sets how long the drain before a change is expected to take.
func DrainTime(d time.Duration) Option {
	return func(x *Decider) error {
		if d < 0 {
			return eris.New("drain time must not be negative")
		}
		x.drainTime = d
		return nil
	}
}

// ReportLag sets how old a report may be; an engine counts as changing for at least as long beyond the change.
func ReportLag(d time.Duration) Option {
	return func(x *Decider) error {
		if d < 0 {
			return eris.New("report lag must not be negative")
		}
		x.reportLag = d
		return nil
	}
}

// TargetUtilization sets the utilization above which answers start to be late.
func TargetUtilization(u float64) Option {
	return func(x *Decider) error {
		if u <= 0 || u > 1 {
			return eris.New("target utilization must be above 0 and at most 1")
		}
		x.utilization = u
		return nil
	}
}

// MixedEfficiency sets the part of an engine's rates that remains in the mixed role.
func MixedEfficiency(e float64) Option {
	return func(x *Decider) error {
		if e <= 0 || e > 1 {
			return eris.New("mixed efficiency must be above 0 and at most 1")
		}
		x.mixedEfficiency = e
		return nil
	}
}

// Confidence sets by how many standard deviations a forecast may be wrong with the change still paying.
func Confidence(deviations float64) Option {
	return func(x *Decider) error {
		if deviations < 0 {
			return eris.New("confidence must not be negative")
		}
		x.confidence = deviations
		return nil
	}
}

// NewDecider returns a Decider that has started no change.
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

// Ahead returns how far ahead a demand should be forecast: to the middle of the horizon behind drain and change.
func (d *Decider) Ahead(rules Rules) time.Duration {
	return d.drainTime + rules.ChangeTime + d.horizon/2
}

// Decide returns the role changes to start now, and counts them as started. Without a demand only the preset's
// bounds are repaired.
func (d *Decider) Decide(now time.Time, engines []Engine, demand waxwingpick.Option[Demand], rules Rules) []Change {
	if d.since.IsZero() {
		d.since = now
	}
	d.settle(now, engines, rules)
	if now.Sub(d.since) < d.quarantine(rules) {
		// Changes that another holder of the authority started may not show in reports yet.
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

func (d *Decider) quarantine(rules Rules) time.Duration {
	return rules.ChangeTime + d.reportLag
}

// settle forgets changes that are done, and engines that are not listed any more.
func (d *Decider) settle(now time.Time, engines []Engine, rules Rules) {
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
		if ok && e.Ready && now.Sub(at) >= d.quarantine(rules) {
			delete(d.started, e.Target)
		}
	}
	for _, times := range []map[waxwingpick.TargetID]time.Time{d.started, d.unready} {
		maps.DeleteFunc(times, func(id waxwingpick.TargetID, _ time.Time) bool {
			return !listed.Has(id)
		})
	}
}

// best returns the change with the largest gain beyond its cost, where one exceeds the price.
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

// gain predicts the requests that a change wins over the horizon, those lost while the engine is gone taken off.
func (d *Decider) gain(f *fleet, m Demand, from, to waxwingpick.Role) (float64, bool) {
	m = d.doubted(m, from, to)
	before := f.coming.Served(m, d.mixedEfficiency)
	after := f.coming.moved(from, to).Served(m, d.mixedEfficiency)
	if after-before < minGain {
		return 0, false
	}
	present := f.serving.Served(m, d.mixedEfficiency)
	reduced := f.serving.without(from).Served(m, d.mixedEfficiency)
	won := (after - before) * d.horizon.Seconds()
	lost := (present - reduced) * (d.drainTime + f.rules.ChangeTime).Seconds()
	return m.RequestsPerSecond * (won - lost), true
}

// doubted returns the demand, at the utilization to keep, as it may be where the forecast errs against a change.
func (d *Decider) doubted(m Demand, from, to waxwingpick.Role) Demand {
	sign := -d.confidence
	if from == waxwingpick.RolePrefill || to == waxwingpick.RoleDecode {
		sign = d.confidence
	}
	m.PrefillEngines = max(0, m.PrefillEngines+sign*m.PrefillError) / d.utilization
	m.DecodeEngines = max(0, m.DecodeEngines-sign*m.DecodeError) / d.utilization
	return m
}
