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

var errWatchEnded = eris.New("watch ended")

// runReads reads the records from the key-value service. Entries read periodically, so that all entries together read
// about once per rereadPeriod regardless of their number. A target's instance reads only until it has records.
func (r *Runner) runReads(ctx context.Context) {
	delay := r.jitter(initialReadDelay)
	if r.self.Kind == waxwingpick.KindEntry {
		delay = r.jitter(initialReadDelay / 10)
	}
	failures := 0
	for r.readSleeper.Until(ctx, r.timers.Now().Add(delay)) {
		if r.self.Kind != waxwingpick.KindEntry && r.Synced() {
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

// read reads every record that was written since the last read, and reports whether the service responded.
func (r *Runner) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	since := r.currentReadRevisions()
	e, err := r.kv.GetSince(ctx, config.Key, since.config)
	if err != nil {
		r.log.WithError(err).WithField("key", config.Key).Warn("failed to read record")
		return false
	}
	plans, err := r.kv.ListSince(ctx, plan.KeyPrefix, since.plans, maxServices)
	if err != nil {
		r.log.WithError(err).WithField("key", plan.KeyPrefix).Warn("failed to list records")
		return false
	}
	r.Accept(e)
	for _, p := range plans {
		r.Accept(p)
	}
	since.addRead(e, plans)
	r.mu.Lock()
	r.readRevisions.merge(since)
	r.gossip.StoreRead()
	r.mu.Unlock()
	return true
}

// readRevisions holds the revisions up to which all records of the key-value service have been read and accepted. Records
// received from a peer or read after a watch event do not count, because a record between them may have been missed.
type readRevisions struct {
	config int64
	plans  int64
}

func (r *Runner) currentReadRevisions() readRevisions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readRevisions
}

// addRead adds the accepted records of one read.
func (s *readRevisions) addRead(e waxwingpick.Entry, plans []waxwingpick.Entry) {
	s.config = max(s.config, e.Revision)
	if len(plans) == maxServices {
		// The list may have been cut off, and the missing plans may have lower revisions.
		return
	}
	for _, p := range plans {
		s.plans = max(s.plans, p.Revision)
	}
}

// merge adds the revisions of another read, which may have started earlier.
func (s *readRevisions) merge(other readRevisions) {
	s.config = max(s.config, other.config)
	s.plans = max(s.plans, other.plans)
}

// runWatch keeps the watches open while this entry is the watcher of its availability zone.
func (r *Runner) runWatch(ctx context.Context) {
	failures := 0
	for r.sleep(ctx, r.jitter(min(watchRetryDelay<<min(failures, 6), maxWatchRetryDelay))) {
		if !r.isWatcher() {
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

// watch keeps the watches open until one breaks or this entry is no longer the watcher.
func (r *Runner) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := r.timers.Every(maxWatchRetryDelay, func(time.Time) {
		if !r.isWatcher() {
			cancel()
		}
	})
	defer stop()
	p := pool.New().WithContext(ctx).WithCancelOnError()
	for _, prefix := range []string{config.Key, plan.KeyPrefix} {
		p.Go(func(ctx context.Context) error {
			err := r.kv.Watch(ctx, prefix, func(key string) {
				r.readChanged(ctx, key)
			})
			if err != nil {
				return fmt.Errorf("watch %s: %w", prefix, err)
			}
			return fmt.Errorf("watch %s: %w", prefix, errWatchEnded)
		})
	}
	// This read finds the changes that were made before the watches were open.
	p.Go(func(ctx context.Context) error {
		r.read(ctx)
		return nil
	})
	if err := p.Wait(); err != nil && ctx.Err() == nil {
		r.log.WithError(err).Warn("watch failed")
	}
}

// readChanged reads a record after a watch event for its key.
func (r *Runner) readChanged(ctx context.Context, key string) {
	if key != config.Key && !strings.HasPrefix(key, plan.KeyPrefix) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := r.kv.Get(ctx, key)
	if err != nil {
		r.log.WithError(err).WithField("key", key).Warn("failed to read changed record")
		r.readSleeper.Notify()
		return
	}
	r.Accept(e)
}

// isWatcher reports whether this entry is the watcher of its availability zone. An entry that is not in the instance list
// also watches.
func (r *Runner) isWatcher() bool {
	var sameZone []waxwingpick.InstanceID
	for _, e := range r.entries() {
		if e.Zone == r.self.Zone {
			sameZone = append(sameZone, e.ID)
		}
	}
	if !slices.Contains(sameZone, r.self.ID) {
		return true
	}
	return plan.Rank("watch", sameZone)[0] == r.self.ID
}

// entries returns the entries of the platform's list that are not leaving.
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
	return r.watchSleeper.Until(ctx, r.timers.Now().Add(d))
}
