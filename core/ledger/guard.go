package ledger

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	guardShards = 16
	// admittedWindows is the number of the newest windows whose attempts are admitted.
	admittedWindows = 2

	defaultWindow           = time.Minute
	defaultKeptWindows      = 15
	defaultAttemptsPerShard = 1024
	defaultAnswerBytes      = 4 << 20
	// maxReservedAnswer is the maximum size that is reserved for each response, in bytes.
	maxReservedAnswer = 4 << 10
)

// AttemptState is the state of an attempt as recorded by a guard.
type AttemptState string

// The states of an attempt.
const (
	// StandingFenced means that the attempt did not run and never will.
	StandingFenced AttemptState = "barred"
	// StandingRunning means that the attempt is queued or running.
	StandingRunning AttemptState = "running"
	// StandingAnswered means that the attempt ran and its response is stored.
	StandingAnswered AttemptState = "answered"
	// StandingLost means that the attempt was sent to the target and no response is stored.
	StandingLost AttemptState = "lost"
	// StandingForgotten means that the guard has no record: the incarnation is another one, or the attempt is too old.
	StandingForgotten AttemptState = "forgotten"
)

// Guard admits each attempt at most once on one target and stores its response for a limited time.
//
// Its incarnation consists of the process's unique name and the number of a time window.
// Attempts are admitted only under the two newest windows, and every attempt is
// recorded for longer than that, so removing a record never admits its attempt again.
//
// An admitted attempt has memory reserved for its response, and no response of these windows
// is evicted for another. A full guard refuses new attempts as not run instead.
type Guard struct {
	process     string
	start       time.Time
	window      time.Duration
	keptWindows int64
	maxAttempts int
	// reserve is the memory reserved for the response of each admitted attempt, in bytes.
	reserve int
	answers answerMemory
	shards  [guardShards]guardShard
}

// GuardOption configures a guard.
type GuardOption func(*Guard) error

// WithWindow sets the length of a window and the number of windows for which attempts are recorded.
func WithWindow(window time.Duration, kept int) GuardOption {
	return func(g *Guard) error {
		if window <= 0 || kept <= admittedWindows {
			return eris.Errorf("window %s kept %d times: want a positive window and more than %d", window, kept, admittedWindows)
		}
		g.window = window
		g.keptWindows = int64(kept)
		return nil
	}
}

// WithGuardMemory sets the maximum number of recorded attempts and of bytes of stored responses, each for the whole
// guard. A response of up to a sixteenth of the bytes, and of 4 KiB at most, is always stored.
func WithGuardMemory(attempts, bytes int) GuardOption {
	return func(g *Guard) error {
		if attempts < guardShards || bytes < 0 {
			return eris.Errorf("memory of %d attempts and %d bytes: want at least %d attempts and no negative size", attempts, bytes, guardShards)
		}
		g.maxAttempts = attempts / guardShards
		g.setAnswerBytes(bytes)
		return nil
	}
}

// NewGuard returns a guard that starts now, for the process with the given unique name.
func NewGuard(process string, now time.Time, opts ...GuardOption) (*Guard, error) {
	g := &Guard{
		process:     process,
		start:       now,
		window:      defaultWindow,
		keptWindows: defaultKeptWindows,
		maxAttempts: defaultAttemptsPerShard,
	}
	g.setAnswerBytes(defaultAnswerBytes)
	for _, opt := range opts {
		if err := opt(g); err != nil {
			return nil, fmt.Errorf("guard option: %w", err)
		}
	}
	for i := range g.shards {
		g.shards[i].records = make(map[string]*guardRecord)
		g.shards[i].forgotten = -1
		g.shards[i].closed = -1
	}
	return g, nil
}

func (g *Guard) setAnswerBytes(bytes int) {
	g.answers.limit = int64(bytes)
	g.reserve = min(maxReservedAnswer, bytes/guardShards)
}

// AnswerBytes returns the bytes of the stored responses and of the memory reserved for pending ones.
func (g *Guard) AnswerBytes() int64 {
	return g.answers.used.Load()
}

// Incarnation returns the incarnation under which attempts are to be claimed from now on.
func (g *Guard) Incarnation(now time.Time) string {
	return fmt.Sprintf("%s.%d", g.process, g.windowAt(now))
}

// Admit admits an attempt for its only run, or refuses it permanently as not run.
func (g *Guard) Admit(now time.Time, id, incarnation string) error {
	g.evictAnswers(now)
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.advance(g, now)
	if r, ok := s.records[id]; ok {
		return refuseAdmitted(r)
	}
	window, ok := g.parse(incarnation)
	if !ok || !s.admits(window, current) {
		return waxwingpick.NotRun(waxwingpick.ReasonStaleIncarnation, 0, "attempt claimed under incarnation "+incarnation)
	}
	if !s.hasCapacity(g) {
		// This refusal can't be recorded, so no attempt of the windows up to now is admitted from here on.
		s.closed = max(current, window)
		return waxwingpick.NotRun(waxwingpick.ReasonOverload, g.window, "too many recorded orders")
	}
	if !g.answers.reserve(g.reserve) {
		s.add(id, window, StandingFenced)
		return waxwingpick.NotRun(waxwingpick.ReasonOverload, defaultRetryAfter, "no room for the answers of more orders")
	}
	s.add(id, window, StandingRunning).reserved = g.reserve
	return nil
}

// evictAnswers removes responses of windows that are no longer admitted if an attempt's reserve does not fit.
func (g *Guard) evictAnswers(now time.Time) {
	for i := range g.shards {
		if g.answers.fits(g.reserve) {
			return
		}
		g.shards[i].evictAnswers(g, now)
	}
}

// Start marks an admitted attempt as sent to the target. False means that it must not be sent.
func (g *Guard) Start(id string) bool {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || r.standing != StandingRunning || r.started {
		return false
	}
	r.started = true
	return true
}

// Refuse fences an admitted attempt that was refused before it started. False means that it had started.
func (g *Guard) Refuse(id string) bool {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || r.started {
		return false
	}
	s.end(&g.answers, r, StandingFenced)
	return true
}

// Finish stores the response of a started attempt for requests that repeat the order.
func (g *Guard) Finish(id string, answer Response) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || !r.started || r.standing != StandingRunning {
		return
	}
	s.finish(&g.answers, r, &answer)
}

// MarkLost marks a started attempt whose target was lost before it responded.
func (g *Guard) MarkLost(id string) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.started && r.standing == StandingRunning {
		s.end(&g.answers, r, StandingLost)
	}
}

// MarkUnsent fences a started attempt that was not sent, because its target could not be reached.
func (g *Guard) MarkUnsent(id string) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.started && r.standing == StandingRunning {
		s.end(&g.answers, r, StandingFenced)
	}
}

// Fence fences an attempt that has not been admitted, so that it never runs, and returns the attempt's state.
func (g *Guard) Fence(now time.Time, id, incarnation string) (AttemptState, *Response) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.advance(g, now)
	if r, ok := s.records[id]; ok {
		return r.standing, r.answer
	}
	window, ok := g.parse(incarnation)
	switch {
	case !ok || window <= s.forgotten:
		return StandingForgotten, nil
	case !s.admits(window, current):
		// It was never admitted, or there would be a record, and it is too old to be admitted from now on.
		return StandingFenced, nil
	case !s.hasCapacity(g):
		// The fenced attempt can't be recorded, so no attempt of the windows up to now is admitted from here on.
		s.closed = max(current, window)
		return StandingFenced, nil
	}
	s.add(id, window, StandingFenced)
	return StandingFenced, nil
}

func (g *Guard) windowAt(now time.Time) int64 {
	return int64(now.Sub(g.start) / g.window)
}

func (g *Guard) shard(id string) *guardShard {
	return &g.shards[xxhash.Sum64String(id)%guardShards]
}

func (g *Guard) parse(incarnation string) (int64, bool) {
	prefix := len(g.process) + 1
	if len(incarnation) <= prefix || incarnation[:prefix] != g.process+"." {
		return 0, false
	}
	return parseWindow(incarnation[prefix:])
}

func refuseAdmitted(r *guardRecord) error {
	if r.standing == StandingFenced {
		return waxwingpick.NotRun(waxwingpick.ReasonFenced, 0, "attempt was fenced")
	}
	return waxwingpick.Unknown(waxwingpick.ReasonFenced, "attempt was admitted before")
}
