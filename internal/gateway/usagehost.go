package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/fleetclock"
	"waxwingpick/core/usage"
	"waxwingpick/internal/boottime"
)

const (
	// usageInterval is the time between two messages with the counts of this process. A process that is killed loses what began
	// since its last one.
	usageInterval = 250 * time.Millisecond
	// usageFullInterval is the time between two messages with all windows that matter. The others hold only the windows that still
	// grow.
	usageFullInterval = time.Second
	// totalsInterval is the time between two messages with the sums of a zone to the holder.
	totalsInterval = 500 * time.Millisecond
	// usageStepInterval is the time between two steps of the holder.
	usageStepInterval = 100 * time.Millisecond
	// usageCallTimeout bounds a call to the platform. The right to act has to cover it.
	usageCallTimeout = 800 * time.Millisecond
	// settleDelay and latestSettle are the earliest and the latest time after the end of a window at which it is settled. The
	// earliest leaves time for requests whose begin is learned late and for the messages with them. A listed gateway that is silent
	// until the latest was most likely killed, and its entry in the key-value service outlasts it; an outage of that service shortly
	// before the due time makes the window a missed one.
	settleDelay  = usage.SettleLag + 500*time.Millisecond
	latestSettle = 4 * time.Second
	// usageDuty is the name of the duty to report usage.
	usageDuty = "usage"
)

// usageHost counts the requests that begin, and reports those of the fleet while this gateway holds the duty.
type usageHost struct {
	process *Process
	sink    waxwingpick.UsageSink
	duty    *dutyHost
	// steady is the clock of the machine, which includes suspensions; wall is its time of day.
	steady func() time.Time
	wall   func() time.Time
	// incarnation tells runs of the same instance apart.
	incarnation uint64

	// countMu guards what each request needs, apart from the reports, whose steps take longer.
	countMu sync.Mutex
	clock   *fleetclock.Clock
	counter *usage.Counter

	mu      sync.Mutex
	sum     *usage.Sum
	reports *usage.Reports
	// era is the era of the key-value service whose settled record applies; none before the first one is known.
	era waxwingpick.Option[int64]
	// readFor is the token for which the settled record was read, zero if it has to be read.
	readFor int64
	record  waxwingpick.Entry
	busy    bool

	lastFull   time.Time
	lastTotals time.Time
	lastClock  time.Time
}

func newUsageHost(p *Process, h *dutyHost) *usageHost {
	length := p.options.UsageWindow
	u := &usageHost{
		process:     p,
		sink:        p.options.Usage,
		duty:        h,
		steady:      boottime.Now,
		wall:        time.Now,
		incarnation: rand.Uint64(),
		clock:       fleetclock.New(),
		counter:     usage.NewCounter(length),
		sum:         usage.NewSum(length),
		reports: usage.NewReports(usage.Terms{
			Length:       length,
			Due:          p.options.UsageDue,
			Settle:       settleDelay,
			LatestSettle: latestSettle,
		}),
	}
	u.reports.Start(u.now())
	return u
}

// now returns the fleet's time.
func (u *usageHost) now() time.Time {
	u.countMu.Lock()
	defer u.countMu.Unlock()
	return u.nowLocked()
}

// nowLocked is now with countMu held.
func (u *usageHost) nowLocked() time.Time {
	steady := u.steady()
	u.clock.ObserveOwn(steady, u.wall())
	return u.clock.Now(steady)
}

// began counts a request that began to run at a target some time ago.
func (u *usageHost) began(ago time.Duration, ws waxwingpick.WorkspaceID) {
	u.countMu.Lock()
	defer u.countMu.Unlock()
	u.counter.Began(u.nowLocked(), ago, ws)
}

// step carries out the next step if this gateway holds the duty.
func (u *usageHost) step(time.Time) {
	u.observeEra()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy || u.process.lifecycle.Err() != nil {
		return
	}
	token, ok := u.duty.begin(usageCallTimeout)
	if !ok {
		return
	}
	if u.readFor != token {
		u.run(func() bool { return u.readRecord(token) })
		return
	}
	u.reports.Expect(u.gateways())
	step, ok := u.reports.Next(u.now())
	if !ok {
		u.duty.end(false)
		return
	}
	switch step.Kind {
	case usage.StepSettle:
		u.run(func() bool { return u.settle(step) })
	case usage.StepSend:
		u.run(func() bool { return u.send(token, step) })
	case usage.StepGiveUp:
		u.duty.end(false)
		u.logWindow(step.Window, "usage window missed", logrus.Fields{
			"reason": step.Reason,
		})
		u.process.options.Metrics.UsageWindow("missed", int64(step.Window))
	}
}

// run runs a call in the background, after which no call of the duty runs; the next step waits for it. mu is held.
func (u *usageHost) run(call func() (fenced bool)) {
	u.busy = true
	u.process.loops.Go(func() {
		fenced := false
		defer func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.busy = false
			u.duty.end(fenced)
		}()
		fenced = call()
	})
}

// gateways returns the number of listed gateways.
func (u *usageHost) gateways() int {
	if u.process.peers == nil {
		return 1
	}
	return 1 + u.process.peers.count()
}

// observeEra applies a new era of the key-value service.
func (u *usageHost) observeEra() {
	era := u.process.follower.position().Era
	u.mu.Lock()
	defer u.mu.Unlock()
	u.applyEra(era)
}

// applyEra applies the era of a result; mu is held. The first one is no news.
func (u *usageHost) applyEra(era int64) {
	known, ok := u.era.Get()
	if ok && era <= known {
		return
	}
	if !ok && era == 0 {
		// Without a position no era is known.
		return
	}
	u.era = waxwingpick.Some(era)
	if ok {
		u.reports.NewEra(u.now())
		u.readFor = 0
	}
}

// settledKey returns the key of the settled record. mu is held.
func (u *usageHost) settledKey() string {
	return usage.SettledKey(u.era.OrElse(0))
}

// readRecord reads what was settled before this gateway took the duty.
func (u *usageHost) readRecord(token int64) (fenced bool) {
	ctx, cancel := context.WithTimeout(u.process.lifecycle, dutyCallTimeout)
	defer cancel()
	u.mu.Lock()
	key := u.settledKey()
	u.mu.Unlock()
	e, err := u.process.options.KeyValue.Get(ctx, key)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.process.log.WithField("error", err.Error()).Debug("settled usage reports not read")
		return false
	}
	u.applyEra(e.Era)
	if key != u.settledKey() {
		return false
	}
	if e.Era == 0 {
		u.reports.RecordComplete()
	}
	u.applyRecord(e)
	u.readFor = token
	return false
}

// applyRecord applies the settled record of the current era. mu is held.
func (u *usageHost) applyRecord(e waxwingpick.Entry) {
	settled, err := usage.DecodeSettled(e.Value)
	if err != nil {
		u.process.log.WithField("error", err.Error()).Warn("settled usage reports cannot be decoded")
	}
	u.record = e
	u.reports.ObserveRecord(u.now(), settled)
}

// settle writes the report of a window to the settled record.
func (u *usageHost) settle(step usage.Step) (fenced bool) {
	u.mu.Lock()
	key, record := u.settledKey(), u.record
	u.mu.Unlock()
	value, err := usage.PutSettled(record.Value, usage.SettledWindow{
		Window: step.Window,
		Body:   step.Body,
	})
	var e waxwingpick.Entry
	if err == nil {
		ctx, cancel := context.WithTimeout(u.process.lifecycle, dutyCallTimeout)
		defer cancel()
		e, err = u.process.options.KeyValue.CompareAndSwap(ctx, key, record.Revision, value, 0)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil {
		u.applyEra(e.Era)
	}
	if err != nil || key != u.settledKey() {
		// The record tells what holds.
		u.readFor = 0
		u.process.log.WithFields(logrus.Fields{
			"window": step.Window,
			"error":  detail(err),
		}).Debug("usage window not settled")
		return false
	}
	u.record = e
	u.reports.Settled(u.now(), step.Window, step.Body)
	u.logWindow(step.Window, "usage window settled", nil)
	u.process.options.Metrics.UsageWindow("settled", int64(step.Window))
	return false
}

// send sends the report of a settled window. The right to act is checked once more, as the process may have been suspended since.
func (u *usageHost) send(token int64, step usage.Step) (fenced bool) {
	outcome := usage.SendUnknown
	counts, err := usage.DecodeBody(step.Body)
	if current, ok := u.duty.begin(usageCallTimeout); err == nil && (!ok || current != token) {
		err = fmt.Errorf("%w: the right to act has ended", waxwingpick.ErrThrottled)
	}
	if err == nil {
		u.duty.acted()
		ctx, cancel := context.WithTimeout(u.process.lifecycle, usageCallTimeout)
		err = u.sink.ReportUsage(ctx, waxwingpick.Fencing{
			Holder: u.process.options.Instance,
			Token:  token,
		}, int64(step.Window), counts)
		cancel()
	}
	switch {
	case err == nil:
		outcome = usage.SendAccepted
	case errors.Is(err, waxwingpick.ErrFenced):
		outcome = usage.SendRefused
	case errors.Is(err, waxwingpick.ErrThrottled):
		outcome = usage.SendThrottled
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports.Sent(u.now(), step.Window, outcome)
	u.logWindow(step.Window, "usage report sent", logrus.Fields{
		"outcome": outcome.String(),
		"token":   token,
		"error":   detail(err),
	})
	u.process.options.Metrics.UsageWindow(outcome.String(), int64(step.Window))
	return outcome == usage.SendRefused
}

// logWindow logs an event of a window with what is known of its counts. mu is held.
func (u *usageHost) logWindow(w usage.Window, event string, fields logrus.Fields) {
	all := logrus.Fields{
		"window": int64(w),
		"listed": u.gateways(),
	}
	for _, s := range u.reports.Status() {
		if s.Window == w {
			all["requests"] = s.Total
			all["workspaces"] = s.Workspaces
			all["gateways"] = s.Gateways
			all["zones"] = s.Zones
		}
	}
	for name, value := range fields {
		all[name] = value
	}
	u.process.log.WithFields(all).Info(event)
}
