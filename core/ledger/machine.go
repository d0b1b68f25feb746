package ledger

import (
	"errors"
	"time"

	"waxwingpick"
)

const (
	// maxAttempts bounds the targets that one sending is offered to.
	maxAttempts = 4
	// maxClaimWrites bounds the claim writes of one sending, so that racing resends end.
	maxClaimWrites = 8
	// maxBarTries bounds the calls to a sidecar that can't be reached.
	maxBarTries = 3
	// maxKeptAnswer is the largest answer that is kept in the claim, in bytes.
	maxKeptAnswer = 16 << 10

	// patience is the age from which a resend bars the attempt that it finds.
	patience = 250 * time.Millisecond

	firstWait = 20 * time.Millisecond
	maxWait   = time.Second

	defaultRetryAfter = 2 * time.Second
)

// ActionKind tells what the driver of a machine has to do next.
type ActionKind uint8

// The kinds of actions.
const (
	// ActChoose asks for a target that was not tried yet; answer by Chosen.
	ActChoose ActionKind = iota
	// ActWrite asks for a compare-and-swap of the claim; answer by Written.
	ActWrite
	// ActRead asks for the claim; answer by Read.
	ActRead
	// ActRun asks to send the attempt to its sidecar; answer by Ran.
	ActRun
	// ActBar asks the attempt's sidecar to bar it; answer by Barred.
	ActBar
	// ActWait asks for a delay; answer by Waited.
	ActWait
	// ActDone says that the answer or the refusal is final.
	ActDone
)

// Action is what the driver of a machine has to do next.
type Action struct {
	Kind ActionKind
	// Key, Expected and Value are the compare-and-swap of ActWrite; Key is set for ActRead too.
	Key      string
	Expected int64
	Value    []byte
	// Attempt is what ActRun and ActBar are about.
	Attempt Attempt
	// Delay is how long ActWait lasts.
	Delay time.Duration
	// Answer or Refusal is the result of ActDone.
	Answer  *Answer
	Refusal *waxwingpick.Refusal
}

// Order is one sending of a call that may not be repeated.
type Order struct {
	// Key is absent where the caller gave none.
	Key      waxwingpick.Option[Key]
	BodyHash string
	// Deadline is when the caller's answer is due.
	Deadline time.Time
}

// Machine takes one sending of an order through claim, run and answer; it is not safe for concurrent use.
type Machine struct {
	order    Order
	policy   Policy
	newID    func() string
	key      Key
	keyed    bool
	revision int64
	// claim is the claim at revision, or the one that is being written.
	claim Claim
	// buried holds the IDs of attempts that never ran and never will.
	buried waxwingpick.Set[string]
	// free says that the last look at the claim showed that nothing had run for the key.
	free bool
	// checked says that no claim of the key was removed; checking says that the read that tells is under way.
	checked  bool
	checking bool
	// pending is the claim that was found and is followed behind that read.
	pending *Claim
	refusal *waxwingpick.Refusal
	tried   waxwingpick.Set[waxwingpick.TargetID]
	writes  int
	// readOnly says that the key-value service takes no writes.
	readOnly bool
	barTries int
	wait     time.Duration
	// kept says that the record holds the final outcome already, or that it can't.
	kept bool
}

// NewMachine returns the machine of one sending; newID makes unique attempt IDs.
func NewMachine(order Order, policy Policy, newID func() string) *Machine {
	key, keyed := order.Key.Get()
	return &Machine{
		order:  order,
		policy: policy,
		newID:  newID,
		key:    key,
		keyed:  keyed,
		free:   !keyed,
		wait:   firstWait,
	}
}

// Tried returns the targets that a next choice must leave out.
func (m *Machine) Tried() waxwingpick.Set[waxwingpick.TargetID] {
	return m.tried
}

// Start returns the first action.
func (m *Machine) Start(now time.Time) Action {
	return m.choose(now)
}

// Chosen takes the target of a new attempt, or the reason why there is none.
func (m *Machine) Chosen(now time.Time, to Attempt, err error) Action {
	if err != nil {
		m.refusal = refusalOf(err, waxwingpick.ReasonNoTarget)
		return m.giveUp()
	}
	to.ID = m.newID()
	m.claim = Claim{
		State:     ClaimOpen,
		BodyHash:  m.order.BodyHash,
		Attempt:   to,
		ClaimedAt: now,
	}
	m.kept = false
	if !m.keyed {
		return m.run(now)
	}
	m.writes++
	return m.swap()
}

// Written takes the outcome of the claim's compare-and-swap.
func (m *Machine) Written(now time.Time, entry waxwingpick.Entry, err error) Action {
	if err == nil {
		return m.hold(now, entry.Revision)
	}
	if errors.Is(err, waxwingpick.ErrUnavailable) {
		return m.writeRefused(err)
	}
	// A conflict shows another's claim; after a lost answer the record alone tells whose it is.
	if errors.Is(err, waxwingpick.ErrConflict) {
		m.free = false
	}
	return m.read()
}

// Read takes the record as the key-value service holds it.
func (m *Machine) Read(now time.Time, entry waxwingpick.Entry, err error) Action {
	if err != nil {
		return m.outage(err)
	}
	if m.checking {
		return m.check(now, entry)
	}
	m.revision = entry.Revision
	if !entry.Exists() {
		return m.vacant(now)
	}
	found, err := decodeClaim(entry.Value)
	if err != nil {
		return m.refuse(waxwingpick.Unknown(waxwingpick.ReasonKeyValue, err.Error()))
	}
	if found.BodyHash != m.order.BodyHash {
		return m.refuse(waxwingpick.NotRun(waxwingpick.ReasonKeyReuse, 0, "the key was used with another request"))
	}
	return m.follow(now, found)
}

// Ran takes the outcome of ActRun: an answer, a refusal of the sidecar, or an error of the connection.
func (m *Machine) Ran(now time.Time, answer Answer, err error) Action {
	if err == nil {
		return m.answer(&answer)
	}
	var refusal *waxwingpick.Refusal
	refused := errors.As(err, &refusal) && refusal.Outcome == waxwingpick.OutcomeNotRun
	if !refused && !errors.Is(err, waxwingpick.ErrEngineUnreachable) {
		return m.bar()
	}
	m.bury()
	m.refusal = refusalOf(err, waxwingpick.ReasonTargetUnreachable)
	if m.keyed && m.refusal.Reason == waxwingpick.ReasonBarred {
		// A resend barred this attempt and may hold the claim now; the target itself is fine.
		m.tried.Remove(m.claim.Attempt.Target)
		m.free = false
		return m.read()
	}
	return m.choose(now)
}

// Barred takes what the sidecar knows of the attempt that was to be barred.
func (m *Machine) Barred(now time.Time, standing Standing, answer *Answer, err error) Action {
	if err != nil {
		m.barTries++
		if m.barTries < maxBarTries {
			return m.pause(now)
		}
		return m.lost(waxwingpick.ReasonTargetUnreachable, "the attempt's sidecar can't be asked: "+err.Error())
	}
	switch standing {
	case StandingBarred:
		m.free = true
		m.bury()
		return m.choose(now)
	case StandingRunning:
		return m.pause(now)
	case StandingAnswered:
		return m.answer(answer)
	case StandingLost:
		return m.unknown(waxwingpick.ReasonTargetLost, "the target did not answer, or its answer is not kept any more")
	case StandingForgotten:
		return m.unknown(waxwingpick.ReasonStaleIncarnation, "the sidecar's incarnation is gone")
	}
	return m.lost(waxwingpick.ReasonTargetLost, "standing "+string(standing))
}

// Waited takes the end of ActWait.
func (m *Machine) Waited() Action {
	return m.bar()
}

// Epilogue returns the write that keeps the final outcome for resends, if one is worth making;
// it may be left out, which only makes a resend ask the sidecar.
func (m *Machine) Epilogue() (Action, bool) {
	if !m.keyed || m.revision == 0 || m.claim.State == ClaimOpen || m.kept {
		return Action{}, false
	}
	return m.swap(), true
}
