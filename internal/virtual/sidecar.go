package virtual

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/timer"
)

// Gate admits attempts to an engine. *admission.Controller implements it.
type Gate interface {
	Offer(now time.Time, req admission.Request) admission.Decision
	Next(now time.Time) (admission.Decision, bool)
	Wake() (time.Time, bool)
	FirstToken(now time.Time, id admission.AttemptID)
	Done(now time.Time, id admission.AttemptID, outputTokens int)
	Cancel(id admission.AttemptID) bool
	Load(now time.Time) waxwingpick.TargetLoad
	Drain()
	Resume()
}

// Attempt is an attempt to run a request, or one of its stages, on an engine.
type Attempt struct {
	ID      admission.AttemptID
	Request *Request
	Stage   Stage
	// Cached is the number of prompt tokens that the entry expects to be cached.
	Cached int
	// OnFirst, OnToken, OnRefused and OnEnded are called when the event happens at the sidecar. The network latency
	// to the entry is not included.
	OnFirst   func(now time.Time)
	OnToken   func(gap time.Duration)
	OnRefused func(now time.Time, refusal *waxwingpick.Refusal)
	OnEnded   func(now time.Time, e Ending)

	sidecar *Sidecar
	work    *Work
	tokens  int
}

// Computed returns the number of tokens that the engine computed for the attempt.
func (a *Attempt) Computed() int {
	if a.work == nil {
		return 0
	}
	return a.work.Computed
}

// Sidecar admits attempts to its engine through a gate.
type Sidecar struct {
	timers        *timer.Manual
	engine        *Engine
	gate          Gate
	attempts      map[admission.AttemptID]*Attempt
	cancelWake    func()
	serial        int
	usePriorities bool
}

// NewSidecar returns a sidecar that admits attempts to the engine by the gate.
func NewSidecar(timers *timer.Manual, engine *Engine, gate Gate) *Sidecar {
	return &Sidecar{
		timers:        timers,
		engine:        engine,
		gate:          gate,
		attempts:      make(map[admission.AttemptID]*Attempt),
		usePriorities: true,
	}
}

// SetPriorities sets whether the engine receives the urgency of each attempt. Without it all attempts have equal
// urgency.
func (s *Sidecar) SetPriorities(on bool) {
	s.usePriorities = on
}

// Engine returns the engine behind the sidecar.
func (s *Sidecar) Engine() *Engine {
	return s.engine
}

// Load returns the load report for entries.
func (s *Sidecar) Load() waxwingpick.TargetLoad {
	return s.gate.Load(s.timers.Now())
}

// Offer submits an attempt to the gate.
func (s *Sidecar) Offer(a *Attempt) {
	now := s.timers.Now()
	s.serial++
	a.ID = admission.AttemptID(fmt.Sprintf("%s-%d", s.engine.spec.ID, s.serial))
	a.sidecar = s
	s.attempts[a.ID] = a
	output := a.Request.EstimatedOutput
	if a.Stage == StagePrefill {
		output = 1
	}
	cached := a.Cached
	if a.Stage == StageDecode {
		cached = a.Request.PromptTokens
	}
	s.applyDecision(now, s.gate.Offer(now, admission.Request{
		ID:           a.ID,
		Workspace:    a.Request.Workspace,
		Class:        a.Request.Class,
		PromptTokens: a.Request.PromptTokens,
		CachedTokens: cached,
		OutputTokens: output,
		Deadline:     a.Request.Deadline,
	}))
	s.applyDecisions(now)
}

// Cancel ends an attempt whose caller disconnected. It returns true if the attempt was still queued. A running one
// ends with EndingCancelled.
func (s *Sidecar) Cancel(a *Attempt) bool {
	if s.gate.Cancel(a.ID) {
		delete(s.attempts, a.ID)
		return true
	}
	if a.work != nil {
		s.engine.Cancel(a.work)
	}
	return false
}

// ChangeRole drains the engine, changes its role and accepts new work again. done may be nil.
func (s *Sidecar) ChangeRole(role waxwingpick.Role, done func(now time.Time)) {
	s.Drain()
	s.engine.OnIdle(func(time.Time) {
		s.engine.ChangeRole(role, func(now time.Time) {
			s.gate.Resume()
			if done != nil {
				done(now)
			}
		})
	})
}

func (s *Sidecar) applyDecision(now time.Time, d admission.Decision) {
	a := s.attempts[d.ID]
	switch d.Verdict {
	case admission.VerdictRun:
		s.start(now, a)
	case admission.VerdictQueued:
	case admission.VerdictRefused:
		delete(s.attempts, d.ID)
		a.OnRefused(now, d.Refusal())
	}
}

func (s *Sidecar) start(now time.Time, a *Attempt) {
	r := a.Request
	a.work = &Work{
		PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens,
		Prefix:       r.Prefix,
		Urgency:      s.urgency(r.Class),
		PromptOnly:   a.Stage == StagePrefill,
		Imported:     a.Stage == StageDecode,
		Poison:       r.Poison,
		Listener:     a,
	}
	if s.engine.Submit(a.work) {
		return
	}
	delete(s.attempts, a.ID)
	s.gate.Done(now, a.ID, 0)
	a.OnRefused(now, waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, time.Second, ""))
}

// applyDecisions applies the pending decisions of the gate and schedules the next call.
func (s *Sidecar) applyDecisions(now time.Time) {
	for {
		d, ok := s.gate.Next(now)
		if !ok {
			break
		}
		s.applyDecision(now, d)
	}
	if s.cancelWake != nil {
		s.cancelWake()
		s.cancelWake = nil
	}
	at, ok := s.gate.Wake()
	if !ok {
		return
	}
	s.cancelWake = s.timers.After(max(0, at.Sub(now)), s.applyDecisions)
}

// FirstToken reports the first token to the gate and to the entry.
func (a *Attempt) FirstToken(now time.Time) {
	a.tokens = 1
	a.sidecar.gate.FirstToken(now, a.ID)
	a.OnFirst(now)
}

// Token counts a token and reports it to the entry.
func (a *Attempt) Token(_ time.Time, gap time.Duration) {
	a.tokens++
	a.OnToken(gap)
}

// Ended frees the capacity of the attempt at the gate and reports the ending to the entry.
func (a *Attempt) Ended(now time.Time, e Ending) {
	s := a.sidecar
	delete(s.attempts, a.ID)
	if e == EndingComplete && a.work.PromptOnly {
		// No token follows the prompt. Without a first token the gate would count a prefill rate of zero.
		a.tokens = 1
		s.gate.FirstToken(now, a.ID)
	}
	tokens := a.tokens
	if e != EndingComplete {
		tokens = 0
	}
	s.gate.Done(now, a.ID, tokens)
	a.OnEnded(now, e)
	s.timers.After(0, s.applyDecisions)
}

func (s *Sidecar) urgency(class waxwingpick.Class) int {
	if s.usePriorities && class == waxwingpick.ClassLong {
		return 5
	}
	return 1
}

// Drain rejects new work. Queued and running work ends as usual.
func (s *Sidecar) Drain() {
	s.gate.Drain()
	s.applyDecisions(s.timers.Now())
}
