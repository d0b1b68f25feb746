package virtual

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/timer"
)

// BlockTokens is the number of tokens in a block of KV cache and in a prefix block.
const BlockTokens = 2000

// EngineSpec describes a model engine.
type EngineSpec struct {
	ID   waxwingpick.TargetID
	Zone waxwingpick.AvailabilityZone
	Role waxwingpick.Role
	// Slots is the maximum batch size.
	Slots int
	// KVBlocks is the memory for KV cache in blocks of BlockTokens.
	KVBlocks int
	// StepBase is the duration of an empty step, StepPerSequence the time that each decoded sequence adds.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// PrefillTokensPerSecond is the rate at which a step computes prompt tokens.
	PrefillTokensPerSecond float64
	// StepTokens is the maximum of prompt tokens in a step. Each decoded sequence reduces it by SequenceTokens.
	StepTokens     int
	SequenceTokens int
	// PrefillStepTokens is the maximum of prompt tokens in a step in the prefill role, where no sequence waits for
	// its next token. Zero means StepTokens.
	PrefillStepTokens int
	// CacheBlocks is the maximum number of cached prefix blocks.
	CacheBlocks int
	// RoleChangeTime is how long a role change makes the engine unavailable.
	RoleChangeTime time.Duration
	// RestartTime is how long the engine is unavailable after a crash.
	RestartTime time.Duration
}

// DefaultSpec returns an engine with 32 slots and a token interval of 37 ms at a full batch.
func DefaultSpec(id waxwingpick.TargetID, zone waxwingpick.AvailabilityZone) EngineSpec {
	return EngineSpec{
		ID:                     id,
		Zone:                   zone,
		Role:                   waxwingpick.RoleMixed,
		Slots:                  32,
		KVBlocks:               200,
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

// Ending is how work on an engine ended.
type Ending uint8

const (
	// EndingComplete means that the engine generated every token.
	EndingComplete Ending = iota
	// EndingCrashed means that the engine crashed and lost the work.
	EndingCrashed
	// EndingCancelled means that the work was cancelled.
	EndingCancelled
)

// Listener is notified of the progress of work.
type Listener interface {
	// FirstToken is called when the first token is generated.
	FirstToken(now time.Time)
	// Token is called for each later token with the time since the previous one.
	Token(now time.Time, gap time.Duration)
	// Ended is called once, when the work ends.
	Ended(now time.Time, e Ending)
}

// Work is a request, or one stage of a request, that an engine runs.
type Work struct {
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
	// Urgency orders admission and prefill, lowest value first.
	Urgency int
	// PromptOnly ends the work once the prompt is computed, for the prefill stage.
	PromptOnly bool
	// Imported says that the KV cache of the prompt is imported, for the decode stage.
	Imported bool
	// Poison makes the engine crash when the prompt is computed.
	Poison   bool
	Listener Listener

	prefillRemaining int
	chunk            int
	produced         int
	lastToken        time.Time
	// Computed counts the prompt and output tokens computed for the work.
	Computed int
}

// Engine is a simulated model engine.
type Engine struct {
	timers      *timer.Manual
	spec        EngineSpec
	slowdown    float64
	waiting     []*Work
	running     []*Work
	cache       *blockCache
	cancelStep  func()
	downBy      time.Time
	unavailable bool
	onIdle      func(now time.Time)

	// cachedTokens counts the prompt tokens that were found in the cache.
	cachedTokens int
	crashes      int
	roleChanges  int
	prefilled    float64
	prefillTime  float64
	decoded      float64
	decodeTime   float64
}

// NewEngine returns an engine that runs on the timers.
func NewEngine(timers *timer.Manual, spec EngineSpec) *Engine {
	return &Engine{
		timers:   timers,
		spec:     spec,
		slowdown: 1,
		cache:    newBlockCache(spec.CacheBlocks),
	}
}

// Spec returns the engine's description with its current role.
func (e *Engine) Spec() EngineSpec {
	return e.spec
}

// SetSlowdown multiplies the duration of every later step by the factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.slowdown = factor
}

// Up reports whether the engine accepts work.
func (e *Engine) Up() bool {
	return !e.unavailable
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	return e.crashes
}

// SavedTokens returns the number of prompt tokens that were found in the cache.
func (e *Engine) SavedTokens() int {
	return e.cachedTokens
}

// HottestBlocks returns the n most recently used prefix blocks as cache events, each with the time of its last use.
func (e *Engine) HottestBlocks(n int) []waxwingpick.CacheEvent {
	return e.cache.hottest(n)
}

// RoleChanges returns how often the engine changed role.
func (e *Engine) RoleChanges() int {
	return e.roleChanges
}

// Busy returns the number of pieces of work that wait or run.
func (e *Engine) Busy() int {
	return len(e.waiting) + len(e.running)
}

// Submit queues work and reports whether the engine accepted it. An unavailable engine does not.
func (e *Engine) Submit(w *Work) bool {
	if e.unavailable {
		return false
	}
	w.prefillRemaining = w.PromptTokens
	if w.Imported {
		w.prefillRemaining = 0
	}
	e.waiting = append(e.waiting, w)
	if e.cancelStep == nil {
		e.step()
	}
	return true
}

// Cancel ends waiting or running work with EndingCancelled.
func (e *Engine) Cancel(w *Work) {
	if removeWork(&e.waiting, w) || removeWork(&e.running, w) {
		w.Listener.Ended(e.timers.Now(), EndingCancelled)
	}
	e.notifyIdle()
}

// Crash ends all work with EndingCrashed. The engine is unavailable for its restart time and then has an empty cache.
func (e *Engine) Crash() {
	now := e.timers.Now()
	e.crashes++
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.takeOffline(e.spec.RestartTime, nil)
	for _, w := range lost {
		w.Listener.Ended(now, EndingCrashed)
	}
}

// ChangeRole changes the role of an idle engine, which is unavailable for its role change time; then it calls done.
// It reports false and does nothing while the engine has work or is unavailable.
func (e *Engine) ChangeRole(role waxwingpick.Role, done func(now time.Time)) bool {
	if e.unavailable || e.Busy() > 0 {
		return false
	}
	e.roleChanges++
	e.takeOffline(e.spec.RoleChangeTime, func(now time.Time) {
		e.spec.Role = role
		if done != nil {
			done(now)
		}
	})
	return true
}

// OnIdle calls fn once, as soon as the engine has no work.
func (e *Engine) OnIdle(fn func(now time.Time)) {
	e.onIdle = fn
	e.notifyIdle()
}

// Load returns the load report of the engine.
func (e *Engine) Load() waxwingpick.EngineLoad {
	l := waxwingpick.EngineLoad{
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		KVBlocksUsed:  e.kvBlocks(),
		KVBlocksTotal: e.spec.KVBlocks,
	}
	if e.prefillTime > 0 {
		l.PrefillTokensPerSecond = e.prefilled / e.prefillTime
	}
	if e.decodeTime > 0 {
		l.DecodeTokensPerSecond = e.decoded / e.decodeTime
	}
	return l
}

func (e *Engine) takeOffline(d time.Duration, done func(now time.Time)) {
	if e.cancelStep != nil {
		e.cancelStep()
		e.cancelStep = nil
	}
	e.unavailable = true
	e.cache = newBlockCache(e.spec.CacheBlocks)
	e.timers.After(d, func(now time.Time) {
		e.unavailable = false
		if done != nil {
			done(now)
		}
	})
}

func (e *Engine) notifyIdle() {
	if e.onIdle == nil || e.Busy() > 0 {
		return
	}
	fn := e.onIdle
	e.onIdle = nil
	fn(e.timers.Now())
}

func (e *Engine) kvBlocks() int {
	n := 0
	for _, w := range e.running {
		n += w.kvBlocks()
	}
	return n
}

func (w *Work) kvBlocks() int {
	return (w.PromptTokens + w.produced + BlockTokens) / BlockTokens
}

func removeWork(works *[]*Work, w *Work) bool {
	for i, other := range *works {
		if other == w {
			*works = append((*works)[:i], (*works)[i+1:]...)
			return true
		}
	}
	return false
}
