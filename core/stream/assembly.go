package stream

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// ErrGap means that an event arrived without one of its predecessors.
var ErrGap = eris.New("gap in the stream")

const (
	defaultBufferBytes   = 256 << 10
	defaultContinueBytes = 1 << 20
	defaultResumes       = 3
	defaultAttempts      = 3
)

// Verdict is the result of accepting an event.
type Verdict uint8

// The verdicts on an event.
const (
	// VerdictDeliver means that the event is the next one and was buffered for the caller.
	VerdictDeliver Verdict = iota
	// VerdictDuplicate means that the event was accepted before.
	VerdictDuplicate
	// VerdictForeign means that the event does not belong to the current attempt.
	VerdictForeign
	// VerdictGap means that events before it are missing. The receiver reports this by Broken with ErrGap.
	VerdictGap
	// VerdictEnd means that the answer is complete.
	VerdictEnd
	// VerdictOverflow means that the caller reads too slowly, and that the attempt has to be cancelled.
	VerdictOverflow
)

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of steps.
const (
	// StepIgnore means that the break does not concern the current attempt.
	StepIgnore StepKind = iota
	// StepResume requests the same attempt's events from Offset.
	StepResume
	// StepContinue requests a new attempt that continues after what was accepted.
	StepContinue
	// StepRerun requests a new attempt from the start, because nothing was accepted yet.
	StepRerun
	// StepFail means that the answer has failed and will not be continued.
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

// Step is how an answer continues after a break.
type Step struct {
	Kind StepKind
	// Offset is the offset to resume from, counted within the attempt.
	Offset int64
	// Refusal is the reason for StepFail.
	Refusal *waxwingpick.Refusal
}

// Assembly is the answer to one request. It is not safe for concurrent use.
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
	// next is the answer's offset of the next expected event.
	next     int64
	buffer   [][]byte
	buffered int
	accepted int
	complete bool
	// sent means that some attempt may have run.
	sent    bool
	refusal *waxwingpick.Refusal
}

// Option configures an assembly.
type Option func(*Assembly) error

// WithRepeatable allows a new attempt to continue the answer when the current one can't be resumed.
func WithRepeatable() Option {
	return func(a *Assembly) error {
		a.repeatable = true
		return nil
	}
}

// WithBuffer sets the maximum size of the events that wait for a slow caller, in bytes.
func WithBuffer(bytes int) Option {
	return func(a *Assembly) error {
		if bytes <= 0 {
			return eris.Errorf("buffer of %d bytes: want at least 1", bytes)
		}
		a.bufferBytes = bytes
		return nil
	}
}

// WithContinuation sets the maximum size of the answers that a new attempt may continue, in bytes of their events. A
// longer answer can only be resumed.
func WithContinuation(bytes int) Option {
	return func(a *Assembly) error {
		if bytes < 0 {
			return eris.Errorf("continuation of %d bytes: want at least 0", bytes)
		}
		a.continueBytes = bytes
		return nil
	}
}

// WithLimits sets the maximum numbers of resumes without progress and of attempts.
func WithLimits(resumes, attempts int) Option {
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

// Accept handles an event of an attempt at an offset within that attempt. The assembly retains data.
func (a *Assembly) Accept(attempt string, offset int64, data []byte, last bool) Verdict {
	if attempt != a.attempt || a.refusal != nil {
		return VerdictForeign
	}
	at := a.base + offset
	switch {
	case offset < 0 || at < a.next || a.complete:
		return VerdictDuplicate
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

// HandleBreak handles a break of an attempt's stream and returns how the answer continues.
func (a *Assembly) HandleBreak(attempt string, err error) Step {
	if attempt != a.attempt || a.complete || a.refusal != nil {
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

// HandleMove handles a planned move of an attempt's stream, which does not count as a failed attempt.
func (a *Assembly) HandleMove(attempt string) Step {
	if attempt != a.attempt || a.complete || a.refusal != nil {
		return Step{
			Kind: StepIgnore,
		}
	}
	a.sent = true
	if !a.mayRestart() {
		return a.fail(a.refusalFor(waxwingpick.ErrStreamNotFound))
	}
	// Restart will count the new attempt.
	a.attempts--
	return a.restart()
}

// Restart makes the attempt with the given ID the current one. Its offset 0 follows what was accepted.
func (a *Assembly) Restart(attempt string) {
	a.attempt = attempt
	a.attempts++
	a.resumes = 0
	a.base = a.next
}

// Take removes the oldest buffered event for the caller. False means that the buffer is empty.
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

// Finished reports whether the answer ended and everything was taken. The refusal is nil if the answer is complete.
func (a *Assembly) Finished() (bool, *waxwingpick.Refusal) {
	ended := len(a.buffer) == 0 && (a.complete || a.refusal != nil)
	return ended, a.refusal
}

// Started reports whether an event was accepted.
func (a *Assembly) Started() bool {
	return a.next > 0
}

// Buffered returns the events that were accepted and not taken yet. A continuation follows the taken events and these.
func (a *Assembly) Buffered() [][]byte {
	return a.buffer
}

// Continuable reports whether a new attempt may still have to continue the answer after the accepted events.
func (a *Assembly) Continuable() bool {
	return a.canContinue() && !a.complete && a.refusal == nil
}

// Fail ends the answer with a failure, unless it is complete. The outcome "not run" becomes "unknown" if an earlier
// attempt may have run.
func (a *Assembly) Fail(refusal *waxwingpick.Refusal) {
	if a.complete || a.refusal != nil {
		return
	}
	final := *refusal
	if a.sent || a.next > 0 {
		final.Outcome = waxwingpick.OutcomeUnknown
	}
	a.fail(&final)
}

func (a *Assembly) end() Verdict {
	a.complete = true
	return VerdictEnd
}

func (a *Assembly) push(data []byte) {
	a.next++
	a.resumes = 0
	a.buffer = append(a.buffer, data)
	a.buffered += len(data)
	a.accepted += len(data)
}

// resumable reports whether the current attempt may still exist and be resumed.
func (a *Assembly) resumable(err error) bool {
	if a.resumes >= a.maxResumes {
		return false
	}
	started := a.resumes > 0 || a.next > a.base
	return errors.Is(err, ErrGap) ||
		errors.Is(err, waxwingpick.ErrEngineLost) ||
		started && errors.Is(err, waxwingpick.ErrEngineUnreachable)
}

// mayRestart reports whether a new attempt is safe: nothing has run yet, or the request may be repeated.
func (a *Assembly) mayRestart() bool {
	return !a.sent || a.canContinue()
}

// canContinue reports whether a repeated request could continue after the accepted events.
func (a *Assembly) canContinue() bool {
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

// refusalFor returns the refusal for a break that ends the answer. Its outcome is "not run" only if no attempt may have
// run.
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
