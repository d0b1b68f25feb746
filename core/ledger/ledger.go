package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/core/background"
	"waxwingpick/core/timer"
)

const (
	maxOutcomeWrites    = 8
	outcomeWriteTimeout = 2 * time.Second
)

// Sidecar is the port to the sidecars on which orders run.
type Sidecar interface {
	// Run sends the attempt and returns the target's response. It fails with a *waxwingpick.Refusal from the
	// sidecar, with ErrEngineUnreachable if nothing was sent, and with any other error if the attempt may run.
	Run(ctx context.Context, attempt Attempt, call waxwingpick.CallRequest) (Response, error)
	// Fence asks the sidecar to fence the attempt and returns the attempt's state.
	Fence(ctx context.Context, attempt Attempt) (AttemptState, *Response, error)
}

// Chooser selects a target that is not in tried and sets all of the attempt but its ID.
// It fails with a *waxwingpick.Refusal if there is none.
type Chooser func(ctx context.Context, tried waxwingpick.Set[waxwingpick.TargetID]) (Attempt, error)

// Ledger runs machines with the key-value service and the sidecars.
type Ledger struct {
	kv             *grouped
	sidecar        Sidecar
	timers         waxwingpick.Timers
	policy         func() Policy
	newID          func() string
	work           background.Group
	outcomeSlots   chan struct{}
	hasSpareWrites func() bool
	wait           func(ctx context.Context) error
	owners         *Owners
	forward        ForwardFunc
}

// Option configures a ledger.
type Option func(*Ledger) error

// WithPolicy sets the source of the retention policy. It is read for each submission, as the configuration may change.
func WithPolicy(policy func() Policy) Option {
	return func(l *Ledger) error {
		l.policy = policy
		return nil
	}
}

// WithAttemptIDs sets the source of unique attempt IDs.
func WithAttemptIDs(newID func() string) Option {
	return func(l *Ledger) error {
		l.newID = newID
		return nil
	}
}

// WithOutcomeWrites sets a function that reports whether the key-value budget allows a write that stores a response in
// its claim.
func WithOutcomeWrites(hasSpareWrites func() bool) Option {
	return func(l *Ledger) error {
		l.hasSpareWrites = hasSpareWrites
		return nil
	}
}

// WithClaimBudget sets the function that each write of claims waits on, such as a rate limiter's Wait. Claims that
// arrive during the wait are committed together.
func WithClaimBudget(wait func(ctx context.Context) error) Option {
	return func(l *Ledger) error {
		l.wait = wait
		return nil
	}
}

// New returns a ledger that uses the given ports.
func New(kv waxwingpick.KeyValue, sidecar Sidecar, timers waxwingpick.Timers, opts ...Option) (*Ledger, error) {
	l := &Ledger{
		sidecar:        sidecar,
		timers:         timers,
		policy:         DefaultPolicy,
		newID:          uuid.NewString,
		outcomeSlots:   make(chan struct{}, maxOutcomeWrites),
		hasSpareWrites: func() bool { return true },
		wait:           func(context.Context) error { return nil },
	}
	for _, opt := range opts {
		if err := opt(l); err != nil {
			return nil, fmt.Errorf("ledger option: %w", err)
		}
	}
	l.kv = newGrouped(kv, l.wait)
	l.kv.owners, l.kv.forward, l.kv.now = l.owners, l.forward, timers.Now
	return l, nil
}

// Place runs the order at most once and returns its response or a *waxwingpick.Refusal. ctx ends with the caller's
// deadline.
func (l *Ledger) Place(ctx context.Context, order Order, call waxwingpick.CallRequest, choose Chooser) (Response, error) {
	m := NewMachine(order, l.policy(), l.newID)
	action := m.Start(l.timers.Now())
	for action.Kind != ActDone {
		action = l.step(ctx, m, action, call, choose)
	}
	l.storeOutcome(ctx, m)
	if action.Refusal != nil {
		return Response{}, fmt.Errorf("place order: %w", action.Refusal)
	}
	return *action.Answer, nil
}

// Close waits until the writes in progress are done. An order placed later stores no response, and fails if its key has
// an issue time.
func (l *Ledger) Close() {
	l.work.Close()
	l.kv.close()
}

func (l *Ledger) step(ctx context.Context, m *Machine, a Action, call waxwingpick.CallRequest, choose Chooser) Action {
	switch a.Kind {
	case ActChoose:
		to, err := choose(ctx, m.Tried())
		return m.Chosen(l.timers.Now(), to, err)
	case ActWrite:
		entry, err := l.kv.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, 0)
		return m.Written(l.timers.Now(), entry, err)
	case ActRead:
		entry, err := l.kv.Get(ctx, a.Key)
		return m.Read(l.timers.Now(), entry, err)
	case ActRun:
		answer, err := l.sidecar.Run(ctx, a.Attempt, call)
		return m.Ran(l.timers.Now(), answer, err)
	case ActFence:
		standing, answer, err := l.sidecar.Fence(ctx, a.Attempt)
		return m.Fenced(l.timers.Now(), standing, answer, err)
	case ActWait:
		timer.Sleep(ctx, l.timers, a.Delay)
		return m.Waited()
	case ActDone:
	}
	return a
}

// storeOutcome writes the outcome into the claim after the caller has its response, unless too many such writes are in progress.
func (l *Ledger) storeOutcome(ctx context.Context, m *Machine) {
	a, ok := m.OutcomeWrite()
	if !ok || !l.hasSpareWrites() {
		return
	}
	select {
	case l.outcomeSlots <- struct{}{}:
	default:
		return
	}
	started := l.work.Start(func() {
		defer func() { <-l.outcomeSlots }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeWriteTimeout)
		defer cancel()
		// If the write fails, only the sidecar has the response, and a repeated request gets it from there.
		_, _ = l.kv.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, 0)
	})
	if !started {
		<-l.outcomeSlots
	}
}
