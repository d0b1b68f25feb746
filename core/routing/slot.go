package routing

import (
	"time"

	"waxwingpick"
)

// maxSends bounds the own sends that are told apart in one slot; older ones fall out first.
const maxSends = 32

// batchSlowdown is the relative growth of the token interval when as many requests as there are slots are added.
const batchSlowdown = 0.5

// send is one own attempt that a report may not show yet.
type send struct {
	serial  uint64
	at      time.Time
	prefill int
	quick   bool
}

// slot holds the load and health of one target in the sample.
type slot struct {
	target int32
	used   time.Time
	pinned bool

	known  bool
	load   waxwingpick.TargetLoad
	loadAt time.Time
	probed time.Time
	// leftAt is when the sidecar last refused an attempt because its target leaves.
	leftAt time.Time

	sends        []send
	extraPrefill int
	extraQuick   int
	// counted is the slot's part of the fleet's total, present where inTotal is set.
	counted int
	inTotal bool

	outstanding   int
	failuresInRow int
	ejections     int
	ejectedUntil  time.Time
	returnedBy    time.Time
}

func (s *slot) addSend(e send) {
	if len(s.sends) == maxSends {
		s.dropSend(0)
	}
	s.sends = append(s.sends, e)
	s.extraPrefill += e.prefill
	if e.quick {
		s.extraQuick += e.prefill
	}
}

func (s *slot) dropSend(i int) {
	e := s.sends[i]
	s.extraPrefill -= e.prefill
	if e.quick {
		s.extraQuick -= e.prefill
	}
	s.sends = append(s.sends[:i], s.sends[i+1:]...)
}

// reported drops the sends that a report made at the given time shows.
func (s *slot) reported(at time.Time) {
	for len(s.sends) > 0 && !s.sends[0].at.After(at) {
		s.dropSend(0)
	}
}

func (s *slot) ended(serial uint64) {
	for i := range s.sends {
		if s.sends[i].serial == serial {
			s.dropSend(i)
			return
		}
	}
}

// requests returns the newest reported requests and the own sends that the report can't show.
func (s *slot) requests() int {
	return s.load.Running + s.load.Queued + len(s.sends)
}

// ejected reports whether the target is out of use for its failures.
func (s *slot) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

// idle reports whether nothing would be lost with the slot.
func (s *slot) idle(now time.Time) bool {
	return !s.pinned && !s.load.Leaving && s.outstanding == 0 && s.failuresInRow == 0 && !now.Before(s.returnedBy)
}

// clear frees a slot but for its memory.
func (s *slot) clear() {
	*s = slot{
		target: none,
		sends:  s.sends[:0],
	}
}

// total is the sum of the newest reported requests and own sends of the slots whose load is known.
type total struct {
	requests int
	slots    int
}

// count brings the total up to date with a slot.
func (r *Router) count(s *slot) {
	r.uncount(s)
	if !s.known {
		return
	}
	s.inTotal = true
	s.counted = s.requests()
	r.total.requests += s.counted
	r.total.slots++
}

// uncount takes a slot out of the total.
func (r *Router) uncount(s *slot) {
	if !s.inTotal {
		return
	}
	s.inTotal = false
	r.total.requests -= s.counted
	r.total.slots--
}

// meanRequests returns the mean number of requests at the targets whose load is known.
func (r *Router) meanRequests() float64 {
	return float64(r.total.requests) / float64(max(1, r.total.slots))
}

// means holds the moving averages of all reports, the prior for targets whose load is old or unknown.
type means struct {
	seen         bool
	prefill      float64
	quickPrefill float64
	quickWait    float64
	longWait     float64
	rate         float64
	interval     float64
	slots        float64
}

const meansSmoothing = 0.05

func (m *means) observe(l waxwingpick.TargetLoad) {
	weight := meansSmoothing
	if !m.seen {
		weight = 1
		m.seen = true
	}
	move := func(mean *float64, value float64) {
		*mean += weight * (value - *mean)
	}
	move(&m.prefill, float64(l.PrefillTokens))
	move(&m.quickPrefill, float64(l.QuickPrefillTokens))
	move(&m.quickWait, l.Wait(waxwingpick.ClassQuick).Seconds())
	move(&m.longWait, l.Wait(waxwingpick.ClassLong).Seconds())
	move(&m.slots, float64(l.Slots))
	if l.PrefillTokensPerSecond > 0 {
		move(&m.rate, l.PrefillTokensPerSecond)
	}
	if l.TokenIntervalMicros > 0 {
		move(&m.interval, l.TokenInterval().Seconds())
	}
}

// estimate is a slot's load as believed now.
type estimate struct {
	busy     float64
	extra    float64
	prefill  float64
	wait     float64
	rate     float64
	interval float64
	slots    float64
}

// estimate mixes the newest report with the mean of all by the report's age and adds the own sends.
func (r *Router) estimate(now time.Time, s *slot, class waxwingpick.Class) estimate {
	trust := 0.0
	if s.known {
		half := float64(r.settings.loadHalfLife)
		trust = half / (half + max(0, float64(now.Sub(s.loadAt))))
	}
	mixed := func(reported, mean float64) float64 {
		return trust*reported + (1-trust)*mean
	}
	e := estimate{
		busy:     mixed(float64(s.load.Running+s.load.Queued), r.meanRequests()),
		rate:     r.means.rate,
		interval: r.means.interval,
		slots:    r.means.slots,
	}
	if class == waxwingpick.ClassLong {
		e.prefill = mixed(float64(s.load.PrefillTokens), r.means.prefill)
		e.wait = mixed(s.load.Wait(class).Seconds(), r.means.longWait)
	} else {
		e.prefill = mixed(float64(s.load.QuickPrefillTokens), r.means.quickPrefill)
		e.wait = mixed(s.load.Wait(class).Seconds(), r.means.quickWait)
	}
	e.useRates(&s.load)
	if r.settings.ownSends {
		e.addSends(s, class)
	}
	return e
}

// useRates takes the target's own rates, which change slowly, and defaults where none was ever seen.
func (e *estimate) useRates(l *waxwingpick.TargetLoad) {
	if l.PrefillTokensPerSecond > 0 {
		e.rate = l.PrefillTokensPerSecond
	}
	if l.TokenIntervalMicros > 0 {
		e.interval = l.TokenInterval().Seconds()
	}
	if l.Slots > 0 {
		e.slots = float64(l.Slots)
	}
	if e.rate == 0 {
		e.rate = defaultPrefillRate
	}
	if e.interval == 0 {
		e.interval = defaultTokenInterval.Seconds()
	}
	e.slots = max(1, e.slots)
}

func (e *estimate) addSends(s *slot, class waxwingpick.Class) {
	e.extra = float64(len(s.sends))
	if class == waxwingpick.ClassLong {
		e.prefill += float64(s.extraPrefill)
		return
	}
	e.prefill += float64(s.extraQuick)
}

// completion predicts the seconds until a request that needs the tokens is answered.
func (e *estimate) completion(prefill, output int) float64 {
	interval := e.interval * (1 + batchSlowdown*(e.busy+e.extra)/e.slots)
	own := (e.prefill+float64(prefill))/e.rate + float64(output)*interval
	over := max(0, e.extra+1-max(0, e.slots-e.busy))
	return e.wait + own + over*own/e.slots
}
