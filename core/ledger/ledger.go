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
	defaultEpilogues       = 8
	defaultEpilogueTimeout = 2 * time.Second
)

// Sidecar is the port to the sidecars that run orders.
type Sidecar interface {
	// Run sends the attempt and returns the target's answer. It fails with a *waxwingpick.Refusal from the
	// sidecar, with ErrEngineUnreachable where nothing was sent, and with any other error where it may run.
	Run(ctx context.Context, attempt Attempt, call waxwingpick.CallRequest) (Answer, error)
	// Bar asks the sidecar to keep the attempt from running and returns what it knows of it.
	Bar(ctx context.Context, attempt Attempt) (Standing, *Answer, error)
}

// Chooser picks a target that is not among those tried and fills in all of the attempt but its ID;
// it fails with a *waxwingpick.Refusal where there is none.
type Chooser func(ctx context.Context, tried waxwingpick.Set[waxwingpick.TargetID]) (Attempt, error)

// Ledger drives machines over the key-value service and the sidecars.
type Ledger struct {
	kv      *grouped
	sidecar Sidecar
	timers  waxwingpick.Timers
	policy  func() Policy
	newID   func() string
	work    background.Group
	slots   chan struct{}
	spare   func() bool
	wait    func(ctx context.Context) error
	owners  *Owners
	hand    HandoverFunc
}

// Option changes a ledger.
type Option func(*Ledger) error

// WithPolicy sets where each sending reads how long claims count; the configuration may change it at any time.
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

// WithSpareWrites sets a check whether the key-value budget allows to keep an answer in its claim.
func WithSpareWrites(spare func() bool) Option {
	return func(l *Ledger) error {
		l.spare = spare
		return nil
	}
}

// WithClaimBudget sets what each write of claims waits for, such as a rate limiter's Wait; claims that
// arrive meanwhile are committed together.
func WithClaimBudget(wait func(ctx context.Context) error) Option {
	return func(l *Ledger) error {
		l.wait = wait
		return nil
	}
}

// New returns a ledger over the ports.
func New(kv waxwingpick.KeyValue, sidecar Sidecar, timers waxwingpick.Timers, opts ...Option) (*Ledger, error) {
	l := &Ledger{
		sidecar: sidecar,
		timers:  timers,
		policy:  DefaultPolicy,
		newID:   uuid.NewString,
		slots:   make(chan struct{}, defaultEpilogues),
		spare:   func() bool { return true },
		wait:    func(context.Context) error { return nil },
	}
	for _, opt := range opts {
		if err := opt(l); err != nil {
			return nil, fmt.Errorf("ledger option: %w", err)
		}
	}
	l.kv = newGrouped(kv, l.wait)
	l.kv.owners, l.kv.hand, l.kv.now = l.owners, l.hand, timers.Now
	return l, nil
}

// Place runs the order at most once and returns its answer or a *waxwingpick.Refusal; ctx ends with the caller's time.
func (l *Ledger) Place(ctx context.Context, order Order, call waxwingpick.CallRequest, choose Chooser) (Answer, error) {
	m := NewMachine(order, l.policy(), l.newID)
	action := m.Start(l.timers.Now())
	for action.Kind != ActDone {
		action = l.step(ctx, m, action, call, choose)
	}
	l.keep(ctx, m)
	if action.Refusal != nil {
		return Answer{}, fmt.Errorf("place order: %w", action.Refusal)
	}
	return *action.Answer, nil
}

// Close waits for the writes that are under way; an order that is placed later keeps no answer and claims no key with an issue time.
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
	case ActBar:
		standing, answer, err := l.sidecar.Bar(ctx, a.Attempt)
		return m.Barred(l.timers.Now(), standing, answer, err)
	case ActWait:
		timer.Sleep(ctx, l.timers, a.Delay)
		return m.Waited()
	case ActDone:
	}
	return a
}

// keep writes the outcome into the claim behind the caller's answer, unless too many such writes are under way.
func (l *Ledger) keep(ctx context.Context, m *Machine) {
	a, ok := m.Epilogue()
	if !ok || !l.spare() {
		return
	}
	select {
	case l.slots <- struct{}{}:
	default:
		return
	}
	started := l.work.Start(func() {
		defer func() { <-l.slots }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), defaultEpilogueTimeout)
		defer cancel()
		// A failure leaves the answer with the sidecar alone, where a resend asks for it.
		_, _ = l.kv.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, 0)
	})
	if !started {
		<-l.slots
	}
}
