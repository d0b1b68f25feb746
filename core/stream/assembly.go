package stream

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// ErrGap says that an event arrived whose predecessors did not.
var ErrGap = eris.New("gap in the stream")

const (
	defaultBufferBytes   = 256 << 10
	defaultContinueBytes = 1 << 20
	defaultResumes       = 3
	defaultAttempts      = 3
)

// Verdict tells what became of an event.
type Verdict uint8

// The verdicts on an event.
const (
	// VerdictDeliver says that the event is next and was buffered for the caller.
	VerdictDeliver Verdict = iota
	// VerdictRepeated says that the event was there already.
	VerdictRepeated
	// VerdictForeign says that the event belongs to no current attempt.
	VerdictForeign
	// VerdictGap says that events before it are missing; the receiver reports Broken with ErrGap.
	VerdictGap
	// VerdictEnd says that the answer is whole.
	VerdictEnd
	// VerdictOverflow says that the caller reads too slowly, and the attempt is to be cancelled.
	VerdictOverflow
)

// StepKind tells how an answer goes on after a break.
type StepKind uint8

// The kinds of steps.
const (
	// StepIgnore says that the break concerns no current attempt.
	StepIgnore StepKind = iota
	// StepResume asks for the same attempt's events from Offset.
	StepResume
	// StepContinue asks for a new attempt that continues after what was accepted.
	StepContinue
	// StepRerun asks for a new attempt from the start, because nothing was accepted yet.
	StepRerun
	// StepFail says that the answer failed for good.
	StepFail
)

// String returns the step's name.
func (k StepKind) String() string {
	switch k {
	case StepIgnore:
		return "ignore"
	case StepResume:
		return "resume"
	case StepContinue:
		return "continue"
	case StepRerun:
		return "rerun"
	case StepFail:
		return "fail"
	}
	return "unknown"
}

// Step tells how an answer goes on after a break.
type Step struct {
	Kind StepKind
	// Offset is the attempt's own offset to resume from.
	Offset int64
	// Refusal says why StepFail failed.
	Refusal *waxwingpick.Refusal
}

// Assembly is the answer to one request; it is not safe for concurrent use.
type Assembly struct {
	repeatable    bool
	bufferBytes   int
	continueBytes int
	maxResumes    int
	maxAttempts   int

	attempt  string
	attempts int
	resumes  int
	// base is the answer's offset at which the current attempt starts.
	base int64
	// next is the answer's offset of the event that is due.
	next     int64
	buffer   [][]byte
	buffered int
	accepted int
	whole    bool
	// sent says that some attempt may have run.
	sent    bool
	refusal *waxwingpick.Refusal
}

// Option changes an assembly.
type Option func(*Assembly) error

// WithRepeatable lets a new attempt take over when the old one can't be resumed.
func WithRepeatable() Option {
	return func(a *Assembly) error {
		a.repeatable = true
		return nil
	}
}

// WithBuffer bounds the events that wait for a slow caller, in bytes.
func WithBuffer(bytes int) Option {
	return func(a *Assembly) error {
		if bytes <= 0 {
			return eris.Errorf("buffer of %d bytes: want at least 1", bytes)
		}
		a.bufferBytes = bytes
		return nil
	}
}

// WithContinuation bounds the answers that a new attempt may continue, in bytes of their events; a longer answer can
// only be resumed.
func WithContinuation(bytes int) Option {
	return func(a *Assembly) error {
		if bytes < 0 {
			return eris.Errorf("continuation of %d bytes: want at least 0", bytes)
		}
		a.continueBytes = bytes
		return nil
	}
}

// WithTries bounds the resumes without progress and the attempts.
func WithTries(resumes, attempts int) Option {
	return func(a *Assembly) error {
		if resumes < 0 || attempts < 1 {
			return eris.Errorf("%d resumes and %d attempts: want at least 0 and 1", resumes, attempts)
		}
		a.maxResumes = resumes
		a.maxAttempts = attempts
		return nil
	}
}

// New returns the assembly of an answer whose first attempt has the given ID.
func New(attempt string, opts ...Option) (*Assembly, error) {
	a := &Assembly{
		bufferBytes:   defaultBufferBytes,
		continueBytes: defaultContinueBytes,
		maxResumes:    defaultResumes,
		maxAttempts:   defaultAttempts,
		attempt:       attempt,
		attempts:      1,
	}
	for _, opt := range opts {
		if err := opt(a); err != nil {
			return nil, fmt.Errorf("assembly option: %w", err)
		}
	}
	return a, nil
}

// Attempt returns the ID of the current attempt.
func (a *Assembly) Attempt() string {
	return a.attempt
}

// Accept takes an event of an attempt, at that attempt's own offset; the assembly keeps data.
func (a *Assembly) Accept(attempt string, offset int64, data []byte, last bool) Verdict {
	if attempt != a.attempt || a.refusal != nil {
		return VerdictForeign
	}
	at := a.base + offset
	switch {
	case offset < 0 || at < a.next || a.whole:
		return VerdictRepeated
	case at > a.next:
		return VerdictGap
	case last && len(data) == 0:
		return a.end()
	case a.buffered+len(data) > a.bufferBytes && len(a.buffer) > 0:
		a.fail(waxwingpick.Unknown(waxwingpick.ReasonOverload, "the caller reads too slowly"))
		return VerdictOverflow
	}
	a.push(data)
	if last {
		return a.end()
	}
	return VerdictDeliver
}

// Broken takes the break of an attempt's stream and tells how the answer goes on.
func (a *Assembly) Broken(attempt string, err error) Step {
	if attempt != a.attempt || a.whole || a.refusal != nil {
		return Step{
			Kind: StepIgnore,
		}
	}
	a.sent = a.sent || a.next > 0 || !notSent(err)
	if a.resumable(err) {
		a.resumes++
		return Step{
			Kind:   StepResume,
			Offset: a.next - a.base,
		}
	}
	if a.attempts < a.maxAttempts && a.mayRestart() {
		return a.restart()
	}
	return a.fail(a.refusalFor(err))
}

// Moved takes the planned move of an attempt's stream, which is no try that failed.
func (a *Assembly) Moved(attempt string) Step {
	if attempt != a.attempt || a.whole || a.refusal != nil {
		return Step{
			Kind: StepIgnore,
		}
	}
	a.sent = true
	if !a.mayRestart() {
		return a.fail(a.refusalFor(waxwingpick.ErrStreamNotFound))
	}
	// Restart counts the attempt that follows.
	a.attempts--
	return a.restart()
}

// Restart makes the attempt with the given ID the current one; its offset 0 follows what was accepted.
func (a *Assembly) Restart(attempt string) {
	a.attempt = attempt
	a.attempts++
	a.resumes = 0
	a.base = a.next
}

// Take removes the oldest waiting event for the caller; false means that none waits.
func (a *Assembly) Take() ([]byte, bool) {
	if len(a.buffer) == 0 {
		return nil, false
	}
	data := a.buffer[0]
	a.buffer[0] = nil
	a.buffer = a.buffer[1:]
	a.buffered -= len(data)
	return data, true
}

// Finished reports whether everything was taken and the answer ended; the refusal is nil where it is whole.
func (a *Assembly) Finished() (bool, *waxwingpick.Refusal) {
	over := len(a.buffer) == 0 && (a.whole || a.refusal != nil)
	return over, a.refusal
}

// Begun reports whether an event was accepted.
func (a *Assembly) Begun() bool {
	return a.next > 0
}

// Waiting returns the events that were accepted and not taken yet; a continuation follows what was taken and these.
func (a *Assembly) Waiting() [][]byte {
	return a.buffer
}

// Continuable reports whether a new attempt may still have to continue the answer after what was accepted.
func (a *Assembly) Continuable() bool {
	return a.followable() && !a.whole && a.refusal == nil
}

// Fail ends the answer explicitly, unless it is whole already. A refusal as not run becomes unknown where an earlier
// attempt may have run.
func (a *Assembly) Fail(refusal *waxwingpick.Refusal) {
	if a.whole || a.refusal != nil {
		return
	}
	final := *refusal
	if a.sent || a.next > 0 {
		final.Outcome = waxwingpick.OutcomeUnknown
	}
	a.fail(&final)
}

func (a *Assembly) end() Verdict {
	a.whole = true
	return VerdictEnd
}

func (a *Assembly) push(data []byte) {
	a.next++
	a.resumes = 0
	a.buffer = append(a.buffer, data)
	a.buffered += len(data)
	a.accepted += len(data)
}

// resumable reports whether the current attempt may still be there to be resumed.
func (a *Assembly) resumable(err error) bool {
	if a.resumes >= a.maxResumes {
		return false
	}
	started := a.resumes > 0 || a.next > a.base
	return errors.Is(err, ErrGap) ||
		errors.Is(err, waxwingpick.ErrEngineLost) ||
		started && errors.Is(err, waxwingpick.ErrEngineUnreachable)
}

// mayRestart reports whether a new attempt is safe: nothing ran yet, or the request may be repeated.
func (a *Assembly) mayRestart() bool {
	return !a.sent || a.followable()
}

// followable reports whether a repeated request could go on after what was accepted.
func (a *Assembly) followable() bool {
	return a.repeatable && a.accepted <= a.continueBytes
}

func (a *Assembly) restart() Step {
	if a.next == 0 {
		return Step{
			Kind: StepRerun,
		}
	}
	return Step{
		Kind: StepContinue,
	}
}

func (a *Assembly) fail(refusal *waxwingpick.Refusal) Step {
	a.refusal = refusal
	return Step{
		Kind:    StepFail,
		Refusal: refusal,
	}
}

// refusalFor returns the refusal for a break that ends the answer; it says not run only if no attempt may have run.
func (a *Assembly) refusalFor(err error) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	if !errors.As(err, &refusal) {
		refusal = waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, 0, err.Error())
	}
	if !a.sent || refusal.Outcome == waxwingpick.OutcomeUnknown {
		return refusal
	}
	return &waxwingpick.Refusal{
		Outcome:    waxwingpick.OutcomeUnknown,
		Reason:     waxwingpick.ReasonTargetLost,
		RetryAfter: refusal.RetryAfter,
		Detail:     err.Error(),
	}
}

// notSent reports whether the error shows that the request did not run.
func notSent(err error) bool {
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) {
		return refusal.Outcome == waxwingpick.OutcomeNotRun
	}
	return errors.Is(err, waxwingpick.ErrEngineUnreachable) || errors.Is(err, waxwingpick.ErrEngineRefused)
}
