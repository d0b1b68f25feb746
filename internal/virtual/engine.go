package virtual

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/timer"
)

// BlockTokens is the number of tokens in a memory piece and in a prefix block.
const BlockTokens = 2000

// EngineSpec describes a model engine.
type EngineSpec struct {
	ID   waxwingpick.TargetID
	Zone waxwingpick.AvailabilityZone
	Role waxwingpick.Role
	// Slots bounds the batch, Pieces the memory in pieces of BlockTokens.
	Slots  int
	Pieces int
	// StepBase is the time of a step without work, StepPerSequence what each decoded sequence adds.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// PrefillTokensPerSecond is the rate at which a step computes prompt tokens.
	PrefillTokensPerSecond float64
	// StepTokens bounds the prompt tokens of a step; each decoded sequence takes SequenceTokens off the bound.
	StepTokens     int
	SequenceTokens int
	// PrefillStepTokens bounds the prompt tokens of a step in the prefill role, where no sequence waits for its next
	// token; zero for StepTokens.
	PrefillStepTokens int
	// CacheBlocks bounds the prefix blocks that stay cached.
	CacheBlocks int
	// RoleChangeTime is how long the engine is gone when it changes role.
	RoleChangeTime time.Duration
	// RestartTime is how long the engine is gone after a crash.
	RestartTime time.Duration
}

// DefaultSpec returns an engine with 32 slots that keeps 37 ms between tokens at a full batch.
func DefaultSpec(id waxwingpick.TargetID, zone waxwingpick.AvailabilityZone) EngineSpec {
	return EngineSpec{
		ID:                     id,
		Zone:                   zone,
		Role:                   waxwingpick.RoleMixed,
		Slots:                  32,
		Pieces:                 200,
		StepBase:               12 * time.Millisecond,
		StepPerSequence:        400 * time.Microsecond,
		PrefillTokensPerSecond: 12000,
		StepTokens:             256,
		SequenceTokens:         4,
		CacheBlocks:            64,
		RoleChangeTime:         8 * time.Second,
		RestartTime:            10 * time.Second,
	}
}

// Ending says how work on an engine ended.
type Ending uint8

// The endings of work.
const (
	// EndingWhole means that every token was generated.
	EndingWhole Ending = iota
	// EndingLost means that the engine crashed.
	EndingLost
	// EndingCancelled means that the work was cancelled.
	EndingCancelled
)

// Listener hears of the progress of work.
type Listener interface {
	// FirstToken is called when the prompt is computed.
	FirstToken(now time.Time)
	// Token is called for each later token with the time since the one before.
	Token(now time.Time, gap time.Duration)
	// Ended is called once.
	Ended(now time.Time, e Ending)
}

// Work is one request or leg as an engine runs it.
type Work struct {
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
	// Urgency orders prefill, lowest first.
	Urgency int
	// PromptOnly ends the work once the prompt is computed, for the prefill leg.
	PromptOnly bool
	// Imported says that the KV cache of the prompt is imported, for the decode leg.
	Imported bool
	// Poison crashes the engine when its prompt is computed.
	Poison   bool
	Listener Listener

	prefillLeft int
	chunk       int
	produced    int
	lastToken   time.Time
	// Computed counts the tokens that were computed for the work, prompt and output.
	Computed int
}

// Engine is a fake of a model engine.
type Engine struct {
	timers  *timer.Manual
	spec    EngineSpec
	slow    float64
	waiting []*Work
	running []*Work
	cache   *blockCache
	stop    func()
	downBy  time.Time
	gone    bool
	idle    func(now time.Time)

	// saved counts the prompt tokens that the cache held.
	saved       int
	crashes     int
	roleChanges int
	prefilled   float64
	prefillTime float64
	decoded     float64
	decodeTime  float64
}

// NewEngine returns an engine that runs on the timers.
func NewEngine(timers *timer.Manual, spec EngineSpec) *Engine {
	return &Engine{
		timers: timers,
		spec:   spec,
		slow:   1,
		cache:  newBlockCache(spec.CacheBlocks),
	}
}

// Spec returns the engine's description with its present role.
func (e *Engine) Spec() EngineSpec {
	return e.spec
}

// SetSlowdown stretches every later step by the factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.slow = factor
}

// Up reports whether the engine takes work.
func (e *Engine) Up() bool {
	return !e.gone
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	return e.crashes
}

// SavedTokens returns the number of prompt tokens that the cache held.
func (e *Engine) SavedTokens() int {
	return e.saved
}

// HottestBlocks returns the cached prefix blocks that were used last, as cache events at that time.
func (e *Engine) HottestBlocks(n int) []waxwingpick.CacheEvent {
	return e.cache.hottest(n)
}

// RoleChanges returns how often the engine changed role.
func (e *Engine) RoleChanges() int {
	return e.roleChanges
}

// Busy returns the number of works that wait or run.
func (e *Engine) Busy() int {
	return len(e.waiting) + len(e.running)
}

// Submit starts work and reports whether the engine took it; one that is gone does not.
func (e *Engine) Submit(w *Work) bool {
	if e.gone {
		return false
	}
	w.prefillLeft = w.PromptTokens
	if w.Imported {
		w.prefillLeft = 0
	}
	e.waiting = append(e.waiting, w)
	if e.stop == nil {
		e.step()
	}
	return true
}

// Cancel ends work early.
func (e *Engine) Cancel(w *Work) {
	if without(&e.waiting, w) || without(&e.running, w) {
		w.Listener.Ended(e.timers.Now(), EndingCancelled)
	}
	e.whenIdle()
}

// Crash loses all work; the engine is gone for its restart time and its cache is empty afterwards.
func (e *Engine) Crash() {
	now := e.timers.Now()
	e.crashes++
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.leave(e.spec.RestartTime, nil)
	for _, w := range lost {
		w.Listener.Ended(now, EndingLost)
	}
}

// ChangeRole makes an empty engine take a role: it is gone for its role change time, then done is called.
// It reports false and does nothing while work runs or the engine is gone.
func (e *Engine) ChangeRole(role waxwingpick.Role, done func(now time.Time)) bool {
	if e.gone || e.Busy() > 0 {
		return false
	}
	e.roleChanges++
	e.leave(e.spec.RoleChangeTime, func(now time.Time) {
		e.spec.Role = role
		if done != nil {
			done(now)
		}
	})
	return true
}

// OnIdle calls fn once when the engine holds no work.
func (e *Engine) OnIdle(fn func(now time.Time)) {
	e.idle = fn
	e.whenIdle()
}

// Load returns the engine's own load report.
func (e *Engine) Load() waxwingpick.EngineLoad {
	l := waxwingpick.EngineLoad{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		PiecesUsed:  e.pieces(),
		PiecesTotal: e.spec.Pieces,
	}
	if e.prefillTime > 0 {
		l.PrefillTokensPerSecond = e.prefilled / e.prefillTime
	}
	if e.decodeTime > 0 {
		l.DecodeTokensPerSecond = e.decoded / e.decodeTime
	}
	return l
}

func (e *Engine) leave(d time.Duration, back func(now time.Time)) {
	if e.stop != nil {
		e.stop()
		e.stop = nil
	}
	e.gone = true
	e.cache = newBlockCache(e.spec.CacheBlocks)
	e.timers.After(d, func(now time.Time) {
		e.gone = false
		if back != nil {
			back(now)
		}
	})
}

func (e *Engine) whenIdle() {
	if e.idle == nil || e.Busy() > 0 {
		return
	}
	fn := e.idle
	e.idle = nil
	fn(e.timers.Now())
}

func (e *Engine) pieces() int {
	n := 0
	for _, w := range e.running {
		n += w.pieces()
	}
	return n
}

func (w *Work) pieces() int {
	return (w.PromptTokens + w.produced + BlockTokens) / BlockTokens
}

func without(works *[]*Work, w *Work) bool {
	for i, other := range *works {
		if other == w {
			*works = append((*works)[:i], (*works)[i+1:]...)
			return true
		}
	}
	return false
}
