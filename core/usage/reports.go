package usage

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

const (
	// retryInterval is the time between two attempts to settle or send the same window.
	retryInterval = 300 * time.Millisecond
	// catchUp is how long the totals of a window are collected before it is settled at the latest time, so that a new
	// holder hears from all zones first.
	catchUp = time.Second
	// maxZones limits the number of zones.
	maxZones = 64
	// keptWindows is the number of windows whose state is kept for status output.
	keptWindows = 2 * RelevantWindows
)

// Terms are the times of the usage reports.
type Terms struct {
	// Length of a window.
	Length time.Duration
	// Due is how long after its end a window must be accepted.
	Due time.Duration
	// Settle and LatestSettle are how long after its end a window is settled at the earliest, and at the latest even if
	// gateways are incomplete.
	Settle       time.Duration
	LatestSettle time.Duration
}

// Reports decides what the holder settles and sends. It is not safe for concurrent use.
//
// Every process keeps one from its start, applies the settled record that it watches, and calls Next only while it holds
// the duty and has read the record since it acquired it. When the store's era is higher than before, NewEra must be
// called before the results of calls in the new era are applied, and the record is the one of SettledKey for that era.
type Reports struct {
	terms    Terms
	windows  map[Window]*window
	expected int
	inFlight waxwingpick.Option[Window]
	// since is the process's start, or the last new era. Unsettled windows that ended before it are given up.
	since   time.Time
	started bool
	dropped int64
}

// window is the state of a window.
type window struct {
	state  State
	reason string
	// body is proposed once encoded, and settled if the state is StateSettled or StateAccepted.
	body  []byte
	zones map[waxwingpick.AvailabilityZone]*zoneTally
	// heardAt is when the first totals were received.
	heardAt time.Time
	next    time.Time
	// tried is set once Next considered the window before its due time.
	tried bool
	// announced is set once Next returned that the window is given up.
	announced bool
}

// zoneTally is the elementwise maximum over the aggregators of a zone.
type zoneTally struct {
	counts Counts
	held   int64
	// processes and total are the highest completeness stated and its sum of counts.
	processes int
	total     int64
}

// complete returns the number of complete instances, or zero while pieces of the statement are missing.
func (z *zoneTally) complete() int {
	if z.held < z.total {
		return 0
	}
	return z.processes
}

// NewReports returns the initial state of a process.
func NewReports(t Terms) *Reports {
	return &Reports{
		terms:   t,
		windows: make(map[Window]*window),
	}
}

// Start records the start of the process. Windows that ended before it are only sent if another process settled them,
// since this one can't know what was settled or lost before. Without it, the first call of another method counts.
func (r *Reports) Start(now time.Time) {
	if !r.started {
		r.started = true
		r.since = now
	}
}

// RecordComplete states that the settled record that was read holds all windows that any process has settled, since the store names
// no eras and so never loses a write. Windows that ended before the start of this process are then settled and sent like others.
func (r *Reports) RecordComplete() {
	r.started = true
	r.since = time.Time{}
}

// Expect sets the number of listed gateways.
func (r *Reports) Expect(gateways int) {
	r.expected = gateways
}

// Observe applies totals of a zone. Totals that exceed a bound are dropped and counted.
func (r *Reports) Observe(now time.Time, zone waxwingpick.AvailabilityZone, totals []ZoneCounts) {
	r.Start(now)
	r.retain(now)
	current := WindowOf(now, r.terms.Length)
	for _, t := range totals {
		if !t.Window.relevantTo(current) {
			continue
		}
		if !validName(string(zone)) || !t.Counts.valid(maxZoneCount) || !validTotal(t.Total, maxZoneCount) || t.Processes < 0 || t.Processes > maxProcesses {
			r.dropped++
			continue
		}
		r.observe(now, zone, t)
	}
}

func (r *Reports) observe(now time.Time, zone waxwingpick.AvailabilityZone, t ZoneCounts) {
	w := r.window(t.Window)
	z, ok := w.zones[zone]
	if !ok {
		if len(w.zones) >= maxZones {
			r.dropped++
			return
		}
		z = &zoneTally{
			counts: make(Counts),
		}
		w.zones[zone] = z
		if w.heardAt.IsZero() {
			w.heardAt = now
		}
	}
	if t.Processes > z.processes || t.Processes == z.processes && t.Total > z.total {
		z.processes = t.Processes
		z.total = t.Total
	}
	for ws, n := range t.Counts {
		before, known := z.counts[ws]
		if n <= before {
			continue
		}
		if !known && len(z.counts) >= MaxWorkspaces {
			r.dropped++
			continue
		}
		z.counts[ws] = n
		z.held += n - before
	}
}

func (r *Reports) window(n Window) *window {
	w, ok := r.windows[n]
	if !ok {
		w = &window{
			zones: make(map[waxwingpick.AvailabilityZone]*zoneTally),
		}
		r.windows[n] = w
	}
	return w
}

// retain removes the windows that no longer matter.
func (r *Reports) retain(now time.Time) {
	current := WindowOf(now, r.terms.Length)
	for n := range r.windows {
		if n <= current-keptWindows || n > current+keptWindows {
			delete(r.windows, n)
		}
	}
}

// Settled records that the body is in the store, written by this process or read from it. A window that was given up
// stays given up, since the store may have lost another body that was sent.
func (r *Reports) Settled(now time.Time, n Window, body []byte) {
	r.Start(now)
	r.retain(now)
	current := WindowOf(now, r.terms.Length)
	if n <= current-keptWindows || n > current+1 || len(body) > maxBodySize {
		return
	}
	w := r.window(n)
	switch w.state {
	case StateSettled, StateAccepted:
		if !bytes.Equal(w.body, body) {
			w.giveUp(reasonConflict)
		}
	case StateOpen:
		w.state = StateSettled
		w.body = bytes.Clone(body)
		w.next = time.Time{}
	case StateGivenUp:
	}
}

// ObserveRecord applies the settled record of the store's current era.
func (r *Reports) ObserveRecord(now time.Time, record []SettledWindow) {
	for _, s := range record {
		r.Settled(now, s.Window, s.Body)
	}
}

// NewEra records that the store lost recent writes. Windows that ended before and are not known to be settled are given
// up, since another process may have sent them.
func (r *Reports) NewEra(now time.Time) {
	r.started = true
	r.since = now
	r.retain(now)
	current := WindowOf(now, r.terms.Length)
	for n := current - RelevantWindows; n < current; n++ {
		if w := r.window(n); w.state == StateOpen {
			w.giveUp(reasonEra)
		}
	}
}

// Sent records the outcome of a call.
func (r *Reports) Sent(now time.Time, n Window, o SendOutcome) {
	if inFlight, ok := r.inFlight.Get(); ok && inFlight == n {
		r.inFlight = waxwingpick.None[Window]()
	}
	w, ok := r.windows[n]
	if !ok {
		return
	}
	if o != SendAccepted {
		w.next = now.Add(retryInterval)
		return
	}
	if w.state == StateSettled {
		w.state = StateAccepted
	}
}

// InFlight returns the window whose call has no outcome yet.
func (r *Reports) InFlight() waxwingpick.Option[Window] {
	return r.inFlight
}

// Dropped returns the number of totals, counts and workspaces that were dropped because they exceeded a bound.
func (r *Reports) Dropped() int64 {
	return r.dropped
}

// Next returns the next step, which the caller must carry out. A step to settle is repeated with the same body until the
// window is settled. After a step to send, no other is returned until Sent is called.
func (r *Reports) Next(now time.Time) (Step, bool) {
	r.Start(now)
	r.retain(now)
	current := WindowOf(now, r.terms.Length)
	for n := current - RelevantWindows; n < current; n++ {
		r.window(n)
	}
	for _, n := range slices.Sorted(maps.Keys(r.windows)) {
		if n >= current {
			break
		}
		if s, ok := r.step(now, n, r.windows[n]); ok {
			return s, true
		}
	}
	return Step{}, false
}

func (r *Reports) step(now time.Time, n Window, w *window) (Step, bool) {
	end := n.End(r.terms.Length)
	inFlight := r.inFlight == waxwingpick.Some(n)
	if now.Before(end.Add(r.terms.Due)) {
		w.tried = true
		if w.state == StateOpen && !end.After(r.since) {
			w.giveUp(reasonStart)
		}
	} else if !inFlight {
		w.expire()
	}
	switch {
	case w.state == StateGivenUp && w.tried && !w.announced:
		w.announced = true
		return Step{
			Kind:   StepGiveUp,
			Window: n,
			Reason: w.reason,
		}, true
	case now.Before(w.next) || !now.Before(end.Add(r.terms.Due)):
		return Step{}, false
	case w.state == StateSettled && r.inFlight == waxwingpick.None[Window]():
		r.inFlight = waxwingpick.Some(n)
		return Step{
			Kind:   StepSend,
			Window: n,
			Body:   bytes.Clone(w.body),
		}, true
	case w.state == StateOpen && r.ready(now, end, w):
		return r.settle(now, n, w)
	}
	return Step{}, false
}

// expire gives up a window that is past its due time.
func (w *window) expire() {
	switch {
	case w.state == StateSettled:
		w.giveUp(reasonNotAccepted)
	case w.state == StateOpen && len(w.zones) == 0:
		w.giveUp(reasonNoCounts)
	case w.state == StateOpen:
		w.giveUp(reasonNotSettled)
	}
}

// giveUp also applies to windows that were accepted, if another body turns up.
func (w *window) giveUp(reason string) {
	w.state = StateGivenUp
	w.reason = reason
}

// ready reports whether an open window is to be settled.
func (r *Reports) ready(now, end time.Time, w *window) bool {
	if len(w.zones) == 0 || now.Before(end.Add(r.terms.Settle)) {
		return false
	}
	if r.expected > 0 && w.gateways() >= r.expected {
		return true
	}
	return !now.Before(end.Add(r.terms.LatestSettle)) && !now.Before(w.heardAt.Add(catchUp))
}

// settle proposes a body, which stays the same in all attempts of this process, since one without a response may still
// take effect.
func (r *Reports) settle(now time.Time, n Window, w *window) (Step, bool) {
	if w.body == nil {
		body, dropped, err := encodeBody(n, w.counts())
		if err != nil {
			w.giveUp(err.Error())
			return Step{}, false
		}
		r.dropped += int64(dropped)
		w.body = body
	}
	w.next = now.Add(retryInterval)
	return Step{
		Kind:   StepSettle,
		Window: n,
		Body:   bytes.Clone(w.body),
	}, true
}

// counts returns the sums over zones.
func (w *window) counts() Counts {
	sums := make(Counts)
	for _, z := range w.zones {
		for ws, n := range z.counts {
			sums[ws] += n
		}
	}
	return sums
}

// gateways returns the number of complete instances over all zones.
func (w *window) gateways() int {
	n := 0
	for _, z := range w.zones {
		n += z.complete()
	}
	return n
}
