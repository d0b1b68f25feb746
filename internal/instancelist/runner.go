package instancelist

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/instances"
	"waxwingpick/internal/dependency"
	"waxwingpick/internal/steploop"
)

const (
	// readTimeout bounds one read of the platform's list.
	readTimeout = 2 * time.Second
	// pollPeriod bounds the sleep of a runner, so that it sees what peers told it and ends held leaves in time.
	pollPeriod = 500 * time.Millisecond
)

// Runner keeps a process's copy of the platform's list.
type Runner struct {
	platform waxwingpick.Platform
	timers   waxwingpick.Timers
	log      logrus.FieldLogger
	sleeper  *steploop.Sleeper
	counted  func(ok bool)
	// reached logs when the platform's list is lost and back.
	reached *dependency.Dependency
	alone   bool
	started time.Time

	mu       sync.Mutex
	list     *instances.List
	schedule *instances.Schedule
	changed  []func()
}

// Option sets up a Runner.
type Option func(*Runner)

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option {
	return func(r *Runner) {
		r.log = log
	}
}

// WithCount calls counted after each read of the platform's list.
func WithCount(counted func(ok bool)) Option {
	return func(r *Runner) {
		r.counted = counted
	}
}

// WithOwnReads says whether the runner reads the list as often as if it were the only process.
func WithOwnReads(alone bool) Option {
	return func(r *Runner) {
		r.alone = alone
	}
}

// New returns the runner of the process on an instance; Read or Run start it.
func New(self waxwingpick.Instance, platform waxwingpick.Platform, timers waxwingpick.Timers, opts ...Option) *Runner {
	r := &Runner{
		platform: platform,
		timers:   timers,
		log:      logrus.StandardLogger(),
		sleeper:  steploop.NewSleeper(timers),
		counted:  func(bool) {},
		started:  timers.Now(),
		list:     instances.NewList(),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.reached = dependency.New("platformList", timers, r.log)
	r.schedule = instances.NewSchedule(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if r.alone {
		r.schedule.ReadAlone()
	}
	return r
}

// Shared returns the runner where its list is to travel between processes, and nil where the process reads its own.
func (r *Runner) Shared() *Runner {
	if r.alone {
		return nil
	}
	return r
}

// Run reads the list when that is due, until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := r.timers.Now()
		r.expire(now)
		next := r.next()
		if !now.Before(next) {
			r.Read(ctx)
			continue
		}
		if limit := now.Add(pollPeriod); limit.Before(next) {
			next = limit
		}
		if !r.sleeper.Until(ctx, next) {
			return
		}
	}
}

// Read reads the platform's list now; the former one stays where that fails.
func (r *Runner) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := r.timers.Now()
	rows, err := r.platform.Instances(ctx)
	r.counted(err == nil)
	if !errors.Is(err, context.Canceled) {
		r.reached.Observe(err)
	}
	if err != nil {
		r.log.WithError(err).Debug("platform list not read")
		r.mu.Lock()
		r.schedule.Failed(r.timers.Now(), r.list)
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	now := r.timers.Now()
	news := r.list.Read(asked, now, rows)
	r.schedule.Succeeded(now, r.list)
	r.mu.Unlock()
	r.tell(news)
}

// Instances returns the newest known list, which must not be changed.
func (r *Runner) Instances() []waxwingpick.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Instances()
}

// Age returns the age of the list held, or the time since the runner was made where none is known.
func (r *Runner) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.list.Known() {
		return r.timers.Now().Sub(r.started)
	}
	return r.timers.Now().Sub(r.list.ReadAt())
}

// Aging reports whether peers are to be asked more often for a younger list.
func (r *Runner) Aging() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Aging(r.timers.Now())
}

// Subscribe calls changed after each change of the list; it must not block for long.
func (r *Runner) Subscribe(changed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = append(r.changed, changed)
}

// Status tells other processes which list is held.
func (r *Runner) Status() waxwingpick.ListStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Status(r.timers.Now())
}

// Answer returns the own status and what another process lacks, nil for nothing.
func (r *Runner) Answer(other waxwingpick.ListStatus) (waxwingpick.ListStatus, *waxwingpick.ListChanges) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	status := r.list.Status(now)
	changes, ok := r.list.Changes(now, other)
	if !ok {
		return status, nil
	}
	return status, &changes
}

// Newer reports whether another process that just told its status holds a younger list, which is to be asked for.
func (r *Runner) Newer(other waxwingpick.ListStatus) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Newer(r.timers.Now(), other)
}

// Take takes what another process answered to a question of the given time.
func (r *Runner) Take(asked time.Time, status waxwingpick.ListStatus, changes *waxwingpick.ListChanges) error {
	r.mu.Lock()
	news, err := r.list.Take(asked, r.timers.Now(), status, changes)
	r.mu.Unlock()
	r.tell(news)
	return err
}

func (r *Runner) next() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schedule.Next(r.list)
}

func (r *Runner) expire(now time.Time) {
	r.mu.Lock()
	ended := r.list.Expire(now)
	r.mu.Unlock()
	r.tell(ended)
}

// tell calls the subscribers after a change.
func (r *Runner) tell(news bool) {
	if !news {
		return
	}
	r.mu.Lock()
	changed := slices.Clone(r.changed)
	r.mu.Unlock()
	for _, c := range changed {
		c()
	}
}
