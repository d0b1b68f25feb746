package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/feed"
	"waxwingpick/core/timer"
	"waxwingpick/internal/dependency"
)

const (
	// pollWait is how long a call waits for changes. A call that is lost is noticed soon after it.
	pollWait = 700 * time.Millisecond
	// idleInterval is the time between two checks whether this process has to read changes itself.
	idleInterval = 50 * time.Millisecond
)

// sink receives the keys with one prefix.
type sink interface {
	prefix() string
	// batchBegins tells where the keys that are applied next come from.
	batchBegins(o origin)
	// replace applies the complete set of keys; put and remove apply one change.
	replace(entries []waxwingpick.Entry)
	put(e waxwingpick.Entry)
	remove(key string)
	// serviceDown reports an outage of the key-value service, and serviceUp the time of its recovery.
	serviceDown()
	serviceUp(at time.Time)
	// batchApplied is called after each batch of changes.
	batchApplied()
}

// Sources of a batch of changes other than another gateway.
const (
	// sourceSnapshot is a reading of all keys, sourceChanges a response with the latest changes.
	sourceSnapshot = "snapshot"
	sourceChanges  = "changes"
	// sourceGraceEnd is the end of the grace period of missing entries.
	sourceGraceEnd = "graceEnd"
)

// origin is where a batch of changes comes from.
type origin struct {
	// source is the ID of another gateway, or a source constant.
	source   string
	position waxwingpick.Position
	// age is the time since this process was last known to hold all changes.
	age time.Duration
}

// fields returns the log fields of the origin.
func (o origin) fields() logrus.Fields {
	return logrus.Fields{
		"source":    o.source,
		"era":       o.position.Era,
		"upTo":      o.position.Revision,
		"ageMillis": o.age.Milliseconds(),
	}
}

// follower keeps sinks up to date with the key-value service, either by its own calls or from the updates of other
// gateways.
type follower struct {
	process *Process
	sinks   []sink
	// publish is called when there is an update for the other gateways.
	publish func(now time.Time)
	// outages logs the outages that this process's own calls encounter.
	outages *dependency.Dependency

	mu   sync.Mutex
	feed *feed.Feed
	mode feed.Mode
	// recoveredAt is the last recovery of the service that the sinks were notified of.
	recoveredAt time.Time
	calls       *feed.Calls
	// interrupt ends the call or the pause under way.
	interrupt context.CancelFunc
}

func newFollower(p *Process, sinks ...sink) *follower {
	jitter := time.Duration(newRandom().Int64N(int64(feed.Jitter)))
	return &follower{
		process: p,
		sinks:   sinks,
		publish: func(time.Time) {},
		outages: dependency.New("keyValue", p.timers, p.log),
		feed:    feed.New(p.options.Instance, p.options.Zone, jitter),
		calls:   feed.NewCalls(pollWait, newRandom().Int64N),
	}
}

// run calls the service while this process has to read changes itself, and returns when the process ends.
func (f *follower) run() {
	p := f.process
	for p.lifecycle.Err() == nil {
		now := p.timers.Now()
		if f.updateMode(now) == feed.ModeReceive {
			f.mu.Lock()
			f.calls.Reset()
			f.mu.Unlock()
			timer.Sleep(p.lifecycle, p.timers, idleInterval)
			continue
		}
		ctx, pause, wait := f.nextCall(now)
		if pause > 0 {
			timer.Sleep(ctx, p.timers, pause)
			continue
		}
		f.call(ctx, wait)
	}
}

// nextCall begins the next call and returns how long it is to wait for changes, or returns the pause before it. The context
// ends when either is interrupted.
func (f *follower) nextCall(now time.Time) (ctx context.Context, pause, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interruptCall()
	ctx, f.interrupt = context.WithCancel(f.process.lifecycle)
	if pause = f.calls.Pause(now); pause > 0 {
		return ctx, pause, 0
	}
	return ctx, 0, f.calls.Begin(now)
}

// interruptCall ends the call or the pause under way.
func (f *follower) interruptCall() {
	if f.interrupt != nil {
		f.interrupt()
	}
}

// call makes one call and records how it ended.
func (f *follower) call(ctx context.Context, wait time.Duration) {
	p := f.process
	err := f.poll(ctx, wait)
	if err != nil && ctx.Err() != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls.Abandoned()
		return
	}
	f.outages.Observe(err)
	now := p.timers.Now()
	switch {
	case err == nil:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls.Succeeded(now)
	case errors.Is(err, waxwingpick.ErrHistoryCompacted):
		p.log.Info("key history expired: reading all keys again")
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls.Reset()
	default:
		f.markUnavailable(now)
	}
}

// probe probes the service while calls remain unanswered, until the process ends.
func (f *follower) probe() {
	p := f.process
	var probes conc.WaitGroup
	defer probes.Wait()
	for {
		now := p.timers.Now()
		f.mu.Lock()
		due := f.calls.ProbeDue(now)
		wait := f.calls.UntilProbe(now)
		f.mu.Unlock()
		if due {
			probes.Go(func() { f.probeOnce(now) })
		}
		if !timer.Sleep(p.lifecycle, p.timers, wait) {
			return
		}
	}
}

// probeOnce sends a probe. If it is answered, the next call follows at once.
func (f *follower) probeOnce(sent time.Time) {
	p := f.process
	err := p.options.Feed.Probe(p.lifecycle)
	p.options.Metrics.Probe(err == nil)
	if err != nil {
		return
	}
	f.mu.Lock()
	interrupts := f.calls.ProbeAnswered(p.timers.Now(), sent)
	if interrupts {
		f.interruptCall()
	}
	age := f.feed.Age(p.timers.Now())
	f.mu.Unlock()
	if interrupts {
		p.log.WithFields(logrus.Fields{
			"probeMillis": p.timers.Now().Sub(sent).Milliseconds(),
			"ageMillis":   age.Milliseconds(),
		}).Info("key-value service answers a probe: reading changes")
	}
}

// updateMode returns whether this process reads changes itself, and logs a change of mode.
func (f *follower) updateMode(now time.Time) feed.Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	mode := f.feed.Mode(now)
	age := f.feed.Age(now)
	f.process.options.Metrics.Feed(mode == feed.ModeRead, age)
	if mode != f.mode {
		f.mode = mode
		f.process.log.WithFields(logrus.Fields{
			"mode":      mode.String(),
			"era":       f.feed.Position().Era,
			"revision":  f.feed.Position().Revision,
			"ageMillis": age.Milliseconds(),
		}).Info("key feed mode changed")
	}
	return mode
}

// poll makes one call for changes, or reads all keys if the process has no revision to continue from.
func (f *follower) poll(ctx context.Context, wait time.Duration) error {
	p := f.process
	f.mu.Lock()
	initialized, after := f.feed.Synced(), f.feed.Position()
	f.mu.Unlock()
	if !initialized {
		entries, at, err := p.options.Feed.Snapshot(ctx, p.options.Catalog.Prefix)
		if err != nil {
			return err
		}
		entries = slices.DeleteFunc(entries, func(e waxwingpick.Entry) bool { return !f.follows(e.Key) })
		for i, e := range entries {
			entries[i] = f.redact(e)
		}
		f.applySnapshot(entries, at)
		return nil
	}
	changes, at, err := p.options.Feed.Changes(ctx, p.options.Catalog.Prefix, after, wait)
	if err != nil {
		if errors.Is(err, waxwingpick.ErrHistoryCompacted) {
			f.mu.Lock()
			defer f.mu.Unlock()
			now := p.timers.Now()
			f.feed.HistoryCompacted(now)
			f.markAvailable(now, sourceChanges)
		}
		return err
	}
	changes = slices.DeleteFunc(changes, func(c waxwingpick.KeyChange) bool { return !f.follows(c.Key) })
	for i, c := range changes {
		changes[i].Entry = f.redact(c.Entry)
	}
	if f.applyChanges(after, changes, at) {
		f.publish(p.timers.Now())
	}
	return nil
}

// position returns the position up to which all changes are applied.
func (f *follower) position() waxwingpick.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feed.Position()
}

// age returns the time since this process was last known to hold all changes.
func (f *follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feed.Age(now)
}

// redact removes from an entry what must not be sent to other gateways.
func (f *follower) redact(e waxwingpick.Entry) waxwingpick.Entry {
	if f.process.options.Catalog.Redact == nil {
		return e
	}
	return f.process.options.Catalog.Redact(e)
}

// follows reports whether a sink receives a key. Others are not sent to other gateways either, since they may be large and
// change often.
func (f *follower) follows(key string) bool {
	return slices.ContainsFunc(f.sinks, func(s sink) bool { return strings.HasPrefix(key, s.prefix()) })
}

func (f *follower) applySnapshot(entries []waxwingpick.Entry, at waxwingpick.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.process.timers.Now()
	before := f.feed.Position()
	age := f.feed.Age(now)
	if !f.feed.ApplySnapshot(now, entries, at) {
		return
	}
	f.process.options.Metrics.Era(at.Era)
	if before.Era != 0 && before.Era != at.Era {
		f.process.log.WithFields(logrus.Fields{
			"before": before.String(),
			"after":  at.String(),
		}).Warn("key-value service returned from an older copy: all keys read again")
	}
	f.markAvailable(now, sourceSnapshot)
	o := origin{
		source:   sourceSnapshot,
		position: at,
		age:      age,
	}
	for _, s := range f.sinks {
		s.batchBegins(o)
		var matching []waxwingpick.Entry
		for _, e := range entries {
			if strings.HasPrefix(e.Key, s.prefix()) {
				matching = append(matching, e)
			}
		}
		s.replace(matching)
		s.batchApplied()
	}
}

// applyChanges applies the service's response and reports whether it contained anything new.
func (f *follower) applyChanges(after waxwingpick.Position, changes []waxwingpick.KeyChange, at waxwingpick.Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.process.timers.Now()
	age := f.feed.Age(now)
	fresh := f.feed.ApplyChanges(now, after, changes, at)
	f.markAvailable(now, sourceChanges)
	f.apply(fresh, origin{
		source:   sourceChanges,
		position: at,
		age:      age,
	})
	return len(fresh) > 0
}

// applyUpdate applies the update of another gateway.
func (f *follower) applyUpdate(now time.Time, n feed.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.feed.Age(now)
	synced := f.feed.Synced()
	fresh := f.feed.ApplyUpdate(now, n)
	if synced && !f.feed.Synced() {
		// The call under way follows a position of an earlier era.
		f.interruptCall()
	}
	if f.feed.Age(now) < age {
		f.markAvailable(now, string(n.From))
	}
	f.apply(fresh, origin{
		source:   string(n.From),
		position: f.feed.Position(),
		age:      age,
	})
}

// update returns the update for other gateways; false if this process does not read changes itself.
func (f *follower) update(now time.Time) (feed.Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode != feed.ModeRead {
		return feed.Update{}, false
	}
	return f.feed.NextUpdate(now)
}

// markAvailable notifies the sinks that the service responds, and of outages that this process did not observe itself.
func (f *follower) markAvailable(now time.Time, source string) {
	at := now
	recoveredAt := f.feed.RecoveredAt()
	missed := recoveredAt.After(f.recoveredAt)
	if missed {
		f.recoveredAt = recoveredAt
		at = recoveredAt
		f.process.log.WithFields(logrus.Fields{
			"source":    source,
			"era":       f.feed.Position().Era,
			"revision":  f.feed.Position().Revision,
			"agoMillis": now.Sub(recoveredAt).Milliseconds(),
		}).Info("key-value service available again")
	}
	for _, s := range f.sinks {
		if missed {
			s.serviceDown()
		}
		s.serviceUp(at)
	}
}

// markUnavailable notifies the other gateways that the service did not respond to this one, and the sinks if it responds to no
// relay either.
func (f *follower) markUnavailable(now time.Time) {
	f.mu.Lock()
	f.calls.Failed(now)
	f.feed.Failed()
	if f.feed.Unavailable(now) {
		for _, s := range f.sinks {
			s.serviceDown()
		}
	}
	f.mu.Unlock()
	f.publish(now)
}

// apply passes changes to the sinks.
func (f *follower) apply(changes []waxwingpick.KeyChange, o origin) {
	if len(changes) == 0 {
		return
	}
	for _, s := range f.sinks {
		s.batchBegins(o)
		applied := false
		for _, c := range changes {
			switch {
			case !strings.HasPrefix(c.Key, s.prefix()):
				continue
			case c.Removed:
				s.remove(c.Key)
			default:
				s.put(c.Entry)
			}
			applied = true
		}
		if applied {
			s.batchApplied()
		}
	}
}
