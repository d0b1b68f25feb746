package gateway

import (
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/feed"

	"waxwingpick/core/timer"
	"waxwingpick/internal/dependency"
)

const (
	// watchWait is how long a call waits for changes; a connection that fell silent shows soon after it.
	watchWait = time.Second
	// watchPause is the time between two calls for changes, which come in series.
	watchPause = 100 * time.Millisecond
	// idlePause is the time between two looks whether this process has to read changes itself.
	idlePause = 50 * time.Millisecond
	// leastRetry and mostRetry bound the time before a call that failed is made again.
	leastRetry = 50 * time.Millisecond
	mostRetry  = 500 * time.Millisecond
)

// sink takes the keys with one prefix.
type sink interface {
	prefix() string
	// replace takes all keys, put and remove one change.
	replace(entries []waxwingpick.Entry)
	put(e waxwingpick.Entry)
	remove(key string)
	// lost tells of an outage of the service, back of its return at a time.
	lost()
	back(at time.Time)
	// changed follows each series of changes.
	changed()
}

// follower keeps sinks up to date with the key-value service, by its own calls or by what other gateways tell.
type follower struct {
	process *Process
	sinks   []sink
	// told is called when there is something new for the other gateways.
	told func(now time.Time)
	// watch tells of outages that this process's own calls met.
	watch *dependency.Dependency

	mu   sync.Mutex
	feed *feed.Feed
	mode feed.Mode
	// returned is the last return of the service that the sinks were told of.
	returned time.Time
}

func newFollower(p *Process, sinks ...sink) *follower {
	jitter := time.Duration(newRandom().Int64N(int64(feed.Jitter)))
	return &follower{
		process: p,
		sinks:   sinks,
		told:    func(time.Time) {},
		watch:   dependency.New("keyValue", p.timers, p.log),
		feed:    feed.New(p.options.Instance, p.options.Zone, jitter),
	}
}

// run reads changes whenever this process has to, until it ends.
func (f *follower) run() {
	p := f.process
	random := newRandom()
	retry := leastRetry
	for p.lifecycle.Err() == nil {
		if f.look(p.timers.Now()) == feed.ModeHears {
			retry = leastRetry
			timer.Sleep(p.lifecycle, p.timers, idlePause)
			continue
		}
		err := f.read()
		f.watch.Observe(err)
		switch {
		case err == nil:
			retry = leastRetry
			timer.Sleep(p.lifecycle, p.timers, watchPause)
			continue
		case errors.Is(err, waxwingpick.ErrHistoryGone):
			p.log.Info("history is gone: all keys are read again")
		default:
			f.failed()
		}
		timer.Sleep(p.lifecycle, p.timers, retry/2+time.Duration(random.Int64N(int64(retry))))
		retry = min(mostRetry, 2*retry)
	}
}

// look returns how this process learns of changes now, and logs where that is new.
func (f *follower) look(now time.Time) feed.Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	mode := f.feed.Mode(now)
	age := f.feed.Age(now)
	f.process.options.Metrics.Feed(mode == feed.ModeReads, age)
	if mode != f.mode {
		f.mode = mode
		f.process.log.WithFields(logrus.Fields{
			"mode":      mode.String(),
			"revision":  f.feed.Revision(),
			"ageMillis": age.Milliseconds(),
		}).Info("feed of changes")
	}
	return mode
}

// read makes one call for changes, or reads all keys where the process can't go on from what it knows.
func (f *follower) read() error {
	p := f.process
	f.mu.Lock()
	known, after := f.feed.Known(), f.feed.Revision()
	f.mu.Unlock()
	if !known {
		entries, revision, err := p.options.Feed.Snapshot(p.lifecycle, p.options.Catalog.Prefix)
		if err != nil {
			return err
		}
		f.takeSnapshot(entries, revision)
		return nil
	}
	changes, revision, err := p.options.Feed.Changes(p.lifecycle, p.options.Catalog.Prefix, after, watchWait)
	if err != nil {
		if errors.Is(err, waxwingpick.ErrHistoryGone) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.feed.HistoryGone()
		}
		return err
	}
	if f.takeChanges(after, changes, revision) {
		f.told(p.timers.Now())
	}
	return nil
}

func (f *follower) takeSnapshot(entries []waxwingpick.Entry, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.process.timers.Now()
	if !f.feed.TakeSnapshot(now, entries, revision) {
		return
	}
	f.settle(now)
	for _, s := range f.sinks {
		var own []waxwingpick.Entry
		for _, e := range entries {
			if strings.HasPrefix(e.Key, s.prefix()) {
				own = append(own, e)
			}
		}
		s.replace(own)
		s.changed()
	}
}

// takeChanges takes the service's answer and reports whether anything in it was new.
func (f *follower) takeChanges(after int64, changes []waxwingpick.KeyChange, revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.process.timers.Now()
	news := f.feed.TakeChanges(now, after, changes, revision)
	f.settle(now)
	f.apply(news)
	return len(news) > 0
}

// hear takes what another gateway told.
func (f *follower) hear(now time.Time, n feed.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.feed.Age(now)
	news := f.feed.Heard(now, n)
	if f.feed.Age(now) < age {
		f.settle(now)
	}
	f.apply(news)
}

// news returns what other gateways are to be told; false where this one does not read changes.
func (f *follower) news(now time.Time) (feed.News, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode != feed.ModeReads {
		return feed.News{}, false
	}
	return f.feed.News(now)
}

// settle tells the sinks that the service answers, and of an outage that this process itself did not see.
func (f *follower) settle(now time.Time) {
	at := now
	returned := f.feed.Returned()
	unseen := returned.After(f.returned)
	if unseen {
		f.returned = returned
		at = returned
	}
	for _, s := range f.sinks {
		if unseen {
			s.lost()
		}
		s.back(at)
	}
}

// failed notes that the service did not answer.
func (f *follower) failed() {
	f.mu.Lock()
	f.feed.Failed()
	for _, s := range f.sinks {
		s.lost()
	}
	f.mu.Unlock()
	f.told(f.process.timers.Now())
}

// apply hands changes to the sinks.
func (f *follower) apply(changes []waxwingpick.KeyChange) {
	for _, s := range f.sinks {
		some := false
		for _, c := range changes {
			switch {
			case !strings.HasPrefix(c.Key, s.prefix()):
				continue
			case c.Removed:
				s.remove(c.Key)
			default:
				s.put(c.Entry)
			}
			some = true
		}
		if some {
			s.changed()
		}
	}
}
