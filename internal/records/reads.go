package records

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

var errWatchEnded = eris.New("the watch ended")

// runReads reads the records from the key-value service: on an entry now and then, so that all entries together read
// about once in rereadPeriod, however many there are; on a target's instance only until something was learned.
func (r *Runner) runReads(ctx context.Context) {
	delay := r.jitter(learnDelay)
	if r.self.Kind == waxwingpick.KindEntry {
		delay = r.jitter(learnDelay / 10)
	}
	failures := 0
	for r.reads.Until(ctx, r.timers.Now().Add(delay)) {
		if r.self.Kind != waxwingpick.KindEntry && r.Learned() {
			return
		}
		if r.read(ctx) {
			failures = 0
			delay = r.rereadDelay()
			continue
		}
		delay = r.jitter(min(watchRetryDelay<<min(failures, 6), maxWatchRetryDelay))
		failures++
	}
}

func (r *Runner) rereadDelay() time.Duration {
	entries := len(r.entries())
	return r.jitter(rereadPeriod * time.Duration(max(entries, 1)))
}

// read reads every record that was written since the last read and reports whether the service answered.
func (r *Runner) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	since := r.readSince()
	e, err := r.kv.GetSince(ctx, config.Key, since.config)
	if err != nil {
		r.log.WithError(err).WithField("key", config.Key).Warn("reading a record failed")
		return false
	}
	plans, err := r.kv.ListSince(ctx, plan.KeyPrefix, since.plans, maxServices)
	if err != nil {
		r.log.WithError(err).WithField("key", plan.KeyPrefix).Warn("listing records failed")
		return false
	}
	r.Accept(e)
	for _, p := range plans {
		r.Accept(p)
	}
	since.read(e, plans)
	r.mu.Lock()
	r.since.raise(since)
	r.gossip.Read()
	r.mu.Unlock()
	return true
}

// since tells up to which revisions the key-value service's records were read and accepted. What is held for other
// reasons, as a peer told it or as a watch did, does not count: a record in between may have been missed.
type since struct {
	config int64
	plans  int64
}

func (r *Runner) readSince() since {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since
}

// read counts the records of one read, which were accepted.
func (s *since) read(e waxwingpick.Entry, plans []waxwingpick.Entry) {
	s.config = max(s.config, e.Revision)
	if len(plans) == maxServices {
		// There may be more, with lower revisions.
		return
	}
	for _, p := range plans {
		s.plans = max(s.plans, p.Revision)
	}
}

// raise takes what another read, which may have begun earlier, has covered.
func (s *since) raise(other since) {
	s.config = max(s.config, other.config)
	s.plans = max(s.plans, other.plans)
}

// runWatch holds the watches while this entry is the one of its availability zone that watches.
func (r *Runner) runWatch(ctx context.Context) {
	failures := 0
	for r.sleep(ctx, r.jitter(min(watchRetryDelay<<min(failures, 6), maxWatchRetryDelay))) {
		if !r.watches() {
			continue
		}
		started := r.timers.Now()
		r.watch(ctx)
		failures++
		if r.timers.Now().Sub(started) > maxWatchRetryDelay {
			failures = 0
		}
	}
}

// watch holds the watches until one breaks, or until another entry is the one to watch.
func (r *Runner) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := r.timers.Every(maxWatchRetryDelay, func(time.Time) {
		if !r.watches() {
			cancel()
		}
	})
	defer stop()
	p := pool.New().WithContext(ctx).WithCancelOnError()
	for _, prefix := range []string{config.Key, plan.KeyPrefix} {
		p.Go(func(ctx context.Context) error {
			err := r.kv.Watch(ctx, prefix, func(key string) {
				r.changed(ctx, key)
			})
			if err != nil {
				return fmt.Errorf("watch %s: %w", prefix, err)
			}
			return fmt.Errorf("watch %s: %w", prefix, errWatchEnded)
		})
	}
	// A change before the watches stood is found by this read.
	p.Go(func(ctx context.Context) error {
		r.read(ctx)
		return nil
	})
	if err := p.Wait(); err != nil && ctx.Err() == nil {
		r.log.WithError(err).Warn("a watch broke")
	}
}

// changed reads a record that was written.
func (r *Runner) changed(ctx context.Context, key string) {
	if key != config.Key && !strings.HasPrefix(key, plan.KeyPrefix) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := r.kv.Get(ctx, key)
	if err != nil {
		r.log.WithError(err).WithField("key", key).Warn("reading a changed record failed")
		r.reads.Notify()
		return
	}
	r.Accept(e)
}

// watches reports whether this entry is the one of its availability zone that watches.
func (r *Runner) watches() bool {
	var near []waxwingpick.InstanceID
	for _, e := range r.entries() {
		if e.Zone == r.self.Zone {
			near = append(near, e.ID)
		}
	}
	if !slices.Contains(near, r.self.ID) {
		return true
	}
	return plan.Rank("watch", near)[0] == r.self.ID
}

// entries lists the entries that are live as far as the platform tells.
func (r *Runner) entries() []waxwingpick.Instance {
	var entries []waxwingpick.Instance
	for _, i := range r.instances() {
		if i.Kind == waxwingpick.KindEntry && !i.Leaving {
			entries = append(entries, i)
		}
	}
	return entries
}

func (r *Runner) sleep(ctx context.Context, d time.Duration) bool {
	return r.watchers.Until(ctx, r.timers.Now().Add(d))
}
