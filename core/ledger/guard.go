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
	// admittedWindows counts the newest windows whose attempts are admitted.
	admittedWindows = 2

	defaultWindow           = time.Minute
	defaultKeptWindows      = 15
	defaultAttemptsPerShard = 1024
	defaultAnswerBytes      = 4 << 20
	// maxReserve is the size up to which an answer finds room for sure, in bytes.
	maxReserve = 4 << 10
)

// Standing is what a guard knows of an attempt.
type Standing string

// The standings of an attempt.
const (
	// StandingBarred says that the attempt did not run and never will.
	StandingBarred Standing = "barred"
	// StandingRunning says that the attempt is queued or running.
	StandingRunning Standing = "running"
	// StandingAnswered says that the attempt ran and its answer is kept.
	StandingAnswered Standing = "answered"
	// StandingLost says that the attempt was handed to the target and has no answer to show.
	StandingLost Standing = "lost"
	// StandingForgotten says that the guard can't tell: another incarnation, or too long ago.
	StandingForgotten Standing = "forgotten"
)

// Guard admits each attempt at most once at one target and keeps its answer for a while.
//
// Its incarnation is the process's unique name and the number of a time window.
// Attempts are admitted only under the two newest windows, and every attempt is
// remembered for longer than that, so forgetting one never admits it again.
//
// An admitted attempt has room for its answer, and no answer of these windows
// makes way for another: a full guard refuses new attempts as not run instead.
type Guard struct {
	process     string
	start       time.Time
	window      time.Duration
	keptWindows int64
	maxAttempts int
	// reserve is the room that each admitted attempt holds for its answer, in bytes.
	reserve int
	answers answerRoom
	shards  [guardShards]guardShard
}

// GuardOption changes a guard's bounds.
type GuardOption func(*Guard) error

// WithWindow sets the length of a window and the number of windows for which attempts are remembered.
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

// WithGuardMemory bounds the attempts remembered and the bytes of answers kept, each for the whole guard; answers of up
// to a sixteenth of the bytes, and of 4 KiB at most, find room for sure.
func WithGuardMemory(attempts, bytes int) GuardOption {
	return func(g *Guard) error {
		if attempts < guardShards || bytes < 0 {
			return eris.Errorf("memory of %d attempts and %d bytes: want at least %d attempts", attempts, bytes, guardShards)
		}
		g.maxAttempts = attempts / guardShards
		g.setAnswerBytes(bytes)
		return nil
	}
}

// NewGuard returns a guard of the process with the given unique name that starts now.
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
	g.answers.bound = int64(bytes)
	g.reserve = min(maxReserve, bytes/guardShards)
}

// AnswerBytes returns the bytes of the answers that are kept and of the room for those to come.
func (g *Guard) AnswerBytes() int64 {
	return g.answers.used.Load()
}

// Incarnation returns the name under which attempts are to be claimed from now on.
func (g *Guard) Incarnation(now time.Time) string {
	return fmt.Sprintf("%s.%d", g.process, g.windowAt(now))
}

// Admit takes an attempt in for its only run, or refuses it as not run for ever.
func (g *Guard) Admit(now time.Time, id, incarnation string) error {
	g.makeRoom(now)
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.advance(g, now)
	if r, ok := s.records[id]; ok {
		return refuseKnown(r)
	}
	window, ok := g.parse(incarnation)
	if !ok || !s.admits(window, current) {
		return waxwingpick.NotRun(waxwingpick.ReasonStaleIncarnation, 0, "attempt claimed under incarnation "+incarnation)
	}
	if !s.room(g) {
		// This refusal can't be remembered, so nothing of the windows up to now is admitted any more.
		s.closed = max(current, window)
		return waxwingpick.NotRun(waxwingpick.ReasonOverload, g.window, "too many orders remembered")
	}
	if !g.answers.reserve(g.reserve) {
		s.add(id, window, StandingBarred)
		return waxwingpick.NotRun(waxwingpick.ReasonOverload, defaultRetryAfter, "no room for the answers of more orders")
	}
	s.add(id, window, StandingRunning).held = g.reserve
	return nil
}

// makeRoom drops answers of windows that admit nothing any more where an attempt's reserve does not fit.
func (g *Guard) makeRoom(now time.Time) {
	for i := range g.shards {
		if g.answers.fits(g.reserve) {
			return
		}
		g.shards[i].makeRoom(g, now)
	}
}

// Start marks an admitted attempt as handed to the target; false means that it must not be handed over.
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

// Refuse bars an admitted attempt that was refused before it started; false means that it had started.
func (g *Guard) Refuse(id string) bool {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || r.started {
		return false
	}
	s.settle(&g.answers, r, StandingBarred)
	return true
}

// Finish keeps the answer of a started attempt for its resends.
func (g *Guard) Finish(id string, answer Answer) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || !r.started || r.standing != StandingRunning {
		return
	}
	s.finish(&g.answers, r, &answer)
}

// Lose marks a started attempt whose target was lost before it answered.
func (g *Guard) Lose(id string) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.started && r.standing == StandingRunning {
		s.settle(&g.answers, r, StandingLost)
	}
}

// Unsent bars a started attempt whose target could not be reached, so that nothing of it was sent.
func (g *Guard) Unsent(id string) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.started && r.standing == StandingRunning {
		s.settle(&g.answers, r, StandingBarred)
	}
}

// Bar keeps an attempt that has not been admitted from ever running and tells what became of it.
func (g *Guard) Bar(now time.Time, id, incarnation string) (Standing, *Answer) {
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
		// Never admitted, or it would be remembered; and too old to be admitted from now on.
		return StandingBarred, nil
	case !s.room(g):
		// The bar can't be remembered, so nothing of the windows up to now is admitted any more.
		s.closed = max(current, window)
		return StandingBarred, nil
	}
	s.add(id, window, StandingBarred)
	return StandingBarred, nil
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

func refuseKnown(r *guardRecord) error {
	if r.standing == StandingBarred {
		return waxwingpick.NotRun(waxwingpick.ReasonBarred, 0, "attempt was barred")
	}
	return waxwingpick.Unknown(waxwingpick.ReasonBarred, "attempt was admitted before")
}
