package ledger

import (
	"errors"
	"time"

	"waxwingpick"
)

const (
	// maxAttempts is the maximum number of targets tried for one submission.
	maxAttempts = 4
	// maxClaimWrites is the maximum number of claim writes of one submission. It ends races between repeated requests.
	maxClaimWrites = 8
	// maxFenceCalls is the maximum number of fence calls to a sidecar that can't be reached.
	maxFenceCalls = 3
	// maxStoredAnswer is the size of the largest response that is stored in the claim, in bytes.
	maxStoredAnswer = 16 << 10

	// minFenceAge is the age from which a repeated request fences the attempt that it finds.
	minFenceAge = 250 * time.Millisecond

	firstWait = 20 * time.Millisecond
	maxWait   = time.Second

	defaultRetryAfter = 2 * time.Second
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActChoose requests a target that was not tried yet. The driver responds with Chosen.
	ActChoose ActionKind = iota
	// ActWrite requests a compare-and-swap of the claim. The driver responds with Written.
	ActWrite
	// ActRead requests the claim. The driver responds with Read.
	ActRead
	// ActRun requests that the attempt be sent to its sidecar. The driver responds with Ran.
	ActRun
	// ActFence requests that the sidecar fence the attempt. The driver responds with Fenced.
	ActFence
	// ActWait requests a delay. The driver responds with Waited.
	ActWait
	// ActDone means that the response or the refusal is final.
	ActDone
)

// Action is the next operation that the driver of a machine has to perform.
type Action struct {
	Kind ActionKind
	// Key, Expected and Value are the compare-and-swap of ActWrite; Key is set for ActRead too.
	Key      string
	Expected int64
	Value    []byte
	// Attempt is the attempt to send or fence with ActRun and ActFence.
	Attempt Attempt
	// Delay is the duration of ActWait.
	Delay time.Duration
	// Answer or Refusal is the result of ActDone.
	Answer  *Response
	Refusal *waxwingpick.Refusal
}

// Order is one submission of a call that may not be repeated.
type Order struct {
	// Key is absent if the caller gave none.
	Key      waxwingpick.Option[Key]
	BodyHash string
	// Deadline is the time by which the caller has to receive a response.
	Deadline time.Time
}

// Machine is the state machine of one submission of an order, from claim to response. It is not safe for concurrent
// use.
type Machine struct {
	order    Order
	policy   Policy
	newID    func() string
	key      Key
	keyed    bool
	revision int64
	// claim is the claim at revision, or the one whose write is in progress.
	claim Claim
	// notRun holds the IDs of attempts that did not run and never will.
	notRun waxwingpick.Set[string]
	// nothingRan means that the last read of the claim showed that no attempt had run for the key.
	nothingRan bool
	// removalChecked means that a read has shown that no claim of the key was removed. checkingRemoval means that this
	// read is in progress.
	removalChecked  bool
	checkingRemoval bool
	// pendingClaim is the claim that was read first and is followed after that check.
	pendingClaim *Claim
	refusal      *waxwingpick.Refusal
	tried        waxwingpick.Set[waxwingpick.TargetID]
	writes       int
	// readOnly means that the key-value service accepts no writes.
	readOnly   bool
	fenceCalls int
	wait       time.Duration
	// outcomeStored means that the claim holds the final outcome already, or that it can't hold it.
	outcomeStored bool
}

// NewMachine returns the machine of one submission. newID returns unique attempt IDs.
func NewMachine(order Order, policy Policy, newID func() string) *Machine {
	key, keyed := order.Key.Get()
	return &Machine{
		order:      order,
		policy:     policy,
		newID:      newID,
		key:        key,
		keyed:      keyed,
		nothingRan: !keyed,
		wait:       firstWait,
	}
}

// Tried returns the targets that the next choice must exclude.
func (m *Machine) Tried() waxwingpick.Set[waxwingpick.TargetID] {
	return m.tried
}

// Start returns the first action.
func (m *Machine) Start(now time.Time) Action {
	return m.choose(now)
}

// Chosen handles the target of a new attempt, or the error if there is none.
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
	m.outcomeStored = false
	if !m.keyed {
		return m.run(now)
	}
	m.writes++
	return m.swap()
}

// Written handles the result of the compare-and-swap of the claim.
func (m *Machine) Written(now time.Time, entry waxwingpick.Entry, err error) Action {
	if err == nil {
		return m.claimed(now, entry.Revision)
	}
	if errors.Is(err, waxwingpick.ErrUnavailable) {
		return m.writeRefused(err)
	}
	// A conflict means that another submission holds the claim. After a lost response, only a read of the record shows which.
	if errors.Is(err, waxwingpick.ErrConflict) {
		m.nothingRan = false
	}
	return m.read()
}

// Read handles the record read from the key-value service.
func (m *Machine) Read(now time.Time, entry waxwingpick.Entry, err error) Action {
	if err != nil {
		return m.outage(err)
	}
	if m.checkingRemoval {
		return m.checkRemoval(now, entry)
	}
	m.revision = entry.Revision
	if !entry.Exists() {
		return m.unclaimed(now)
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

// Ran handles the result of ActRun: a response, a refusal of the sidecar, or a connection error.
func (m *Machine) Ran(now time.Time, answer Response, err error) Action {
	if err == nil {
		return m.answer(&answer)
	}
	var refusal *waxwingpick.Refusal
	refused := errors.As(err, &refusal) && refusal.Outcome == waxwingpick.OutcomeNotRun
	if !refused && !errors.Is(err, waxwingpick.ErrEngineUnreachable) {
		return m.fence()
	}
	m.markNotRun()
	m.refusal = refusalOf(err, waxwingpick.ReasonTargetUnreachable)
	if m.keyed && m.refusal.Reason == waxwingpick.ReasonFenced {
		// A repeated request fenced this attempt and may hold the claim now. The target itself works.
		m.tried.Remove(m.claim.Attempt.Target)
		m.nothingRan = false
		return m.read()
	}
	return m.choose(now)
}

// Fenced handles the sidecar's response to ActFence, which holds the attempt's state.
func (m *Machine) Fenced(now time.Time, standing AttemptState, answer *Response, err error) Action {
	if err != nil {
		m.fenceCalls++
		if m.fenceCalls < maxFenceCalls {
			return m.pause(now)
		}
		return m.unknownRetryable(waxwingpick.ReasonTargetUnreachable, "the attempt's sidecar did not respond: "+err.Error())
	}
	switch standing {
	case StandingFenced:
		m.nothingRan = true
		m.markNotRun()
		return m.choose(now)
	case StandingRunning:
		return m.pause(now)
	case StandingAnswered:
		return m.answer(answer)
	case StandingLost:
		return m.unknownFinal(waxwingpick.ReasonTargetLost, "the target did not answer, or its answer is no longer stored")
	case StandingForgotten:
		return m.unknownFinal(waxwingpick.ReasonStaleIncarnation, "the sidecar has restarted or no longer has a record of the attempt")
	}
	return m.unknownRetryable(waxwingpick.ReasonTargetLost, "attempt state "+string(standing))
}

// Waited handles the end of ActWait.
func (m *Machine) Waited() Action {
	return m.fence()
}

// OutcomeWrite returns the write that stores the final outcome for repeated requests, if it is useful.
// It may be omitted. A repeated request then gets the outcome from the sidecar.
func (m *Machine) OutcomeWrite() (Action, bool) {
	if !m.keyed || m.revision == 0 || m.claim.State == ClaimOpen || m.outcomeStored {
		return Action{}, false
	}
	return m.swap(), true
}
