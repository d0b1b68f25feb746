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
	// maxSleep bounds the sleep of a runner, so that its schedule follows lists received from peers, and retained leave
	// announcements expire in time.
	maxSleep = 500 * time.Millisecond
)

// Runner keeps a process's copy of the platform's list.
type Runner struct {
	platform waxwingpick.Platform
	timers   waxwingpick.Timers
	log      logrus.FieldLogger
	sleeper  *steploop.Sleeper
	onRead   func(ok bool)
	// platformStatus logs when the platform's list becomes unavailable or available.
	platformStatus *dependency.Dependency
	independent    bool
	createdAt      time.Time

	mu          sync.Mutex
	list        *instances.List
	schedule    *instances.Schedule
	subscribers []func()
}

// Option sets up a Runner.
type Option func(*Runner)

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option {
	return func(r *Runner) {
		r.log = log
	}
}

// WithReadObserver sets a function that is called after each read of the platform's list.
func WithReadObserver(onRead func(ok bool)) Option {
	return func(r *Runner) {
		r.onRead = onRead
	}
}

// WithIndependentReads sets whether the runner reads the list independently, as often as if it were the only process.
func WithIndependentReads(independent bool) Option {
	return func(r *Runner) {
		r.independent = independent
	}
}

// New returns the runner of the process on an instance. Read or Run start it.
func New(self waxwingpick.Instance, platform waxwingpick.Platform, timers waxwingpick.Timers, opts ...Option) *Runner {
	r := &Runner{
		platform:  platform,
		timers:    timers,
		log:       logrus.StandardLogger(),
		sleeper:   steploop.NewSleeper(timers),
		onRead:    func(bool) {},
		createdAt: timers.Now(),
		list:      instances.NewList(),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.platformStatus = dependency.New("platformList", timers, r.log)
	r.schedule = instances.NewSchedule(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if r.independent {
		r.schedule.SetStandalone()
	}
	return r
}

// Shared returns the runner if its list is exchanged between processes, or nil if the process reads the list
// independently.
func (r *Runner) Shared() *Runner {
	if r.independent {
		return nil
	}
	return r
}

// Run reads the list whenever a read is due, until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := r.timers.Now()
		r.expire(now)
		next := r.next()
		if !now.Before(next) {
			r.Read(ctx)
			continue
		}
		if limit := now.Add(maxSleep); limit.Before(next) {
			next = limit
		}
		if !r.sleeper.Until(ctx, next) {
			return
		}
	}
}

// Read reads the platform's list now. If the read fails, the previous list is kept.
func (r *Runner) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := r.timers.Now()
	rows, err := r.platform.Instances(ctx)
	r.onRead(err == nil)
	if !errors.Is(err, context.Canceled) {
		r.platformStatus.Observe(err)
	}
	if err != nil {
		r.log.WithError(err).Debug("failed to read platform list")
		r.mu.Lock()
		r.schedule.Failed(r.timers.Now(), r.list)
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	now := r.timers.Now()
	changed := r.list.Read(requestedAt, now, rows)
	r.schedule.Succeeded(now, r.list)
	r.mu.Unlock()
	r.notify(changed)
}

// Instances returns the latest known list, which must not be modified.
func (r *Runner) Instances() []waxwingpick.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Instances()
}

// Age returns the age of the list, or the time since the runner was created if there is no list.
func (r *Runner) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.list.Known() {
		return r.timers.Now().Sub(r.createdAt)
	}
	return r.timers.Now().Sub(r.list.ReadAt())
}

// Aging reports whether peers should be polled more often for a younger list.
func (r *Runner) Aging() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Aging(r.timers.Now())
}

// Subscribe calls changed after each change of the list. changed must not block for long.
func (r *Runner) Subscribe(changed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, changed)
}

// Status returns the status of the list for other processes.
func (r *Runner) Status() waxwingpick.ListStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Status(r.timers.Now())
}

// ChangesFor returns the list's status and the changes that another process lacks, or nil if it lacks none.
func (r *Runner) ChangesFor(other waxwingpick.ListStatus) (waxwingpick.ListStatus, *waxwingpick.ListChanges) {
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

// Newer reports whether the list of another process is younger, by its current status, and should be requested.
func (r *Runner) Newer(other waxwingpick.ListStatus) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Newer(r.timers.Now(), other)
}

// Apply applies the response of another process to a request sent at the given time.
func (r *Runner) Apply(requestedAt time.Time, status waxwingpick.ListStatus, changes *waxwingpick.ListChanges) error {
	r.mu.Lock()
	changed, err := r.list.Apply(requestedAt, r.timers.Now(), status, changes)
	r.mu.Unlock()
	r.notify(changed)
	return err
}

func (r *Runner) next() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schedule.Next(r.list)
}

func (r *Runner) expire(now time.Time) {
	r.mu.Lock()
	changed := r.list.Expire(now)
	r.mu.Unlock()
	r.notify(changed)
}

// notify calls the subscribers if the list has changed.
func (r *Runner) notify(changed bool) {
	if !changed {
		return
	}
	r.mu.Lock()
	subscribers := slices.Clone(r.subscribers)
	r.mu.Unlock()
	for _, c := range subscribers {
		c()
	}
}
