package ledger_test

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/ledger"
)

// machineVariant is the part of a machine that a naive variant may replace.
type machineVariant interface {
	Start(now time.Time) ledger.Action
	Chosen(now time.Time, to ledger.Attempt, err error) ledger.Action
	Written(now time.Time, entry waxwingpick.Entry, err error) ledger.Action
	Read(now time.Time, entry waxwingpick.Entry, err error) ledger.Action
	Ran(now time.Time, answer ledger.Response, err error) ledger.Action
	Fenced(now time.Time, standing ledger.AttemptState, answer *ledger.Response, err error) ledger.Action
	Waited() ledger.Action
	OutcomeWrite() (ledger.Action, bool)
	Tried() waxwingpick.Set[waxwingpick.TargetID]
}

// variant replaces parts of the system by naive ones.
type variant struct {
	wrap             func(*ledger.Machine) machineVariant
	memoryPerEntry   bool
	forgetFences     bool
	anyIncarnation   bool
	blindWrites      bool
	unrecordedSweeps bool
	smallGuards      bool
}

const (
	simulatedEntries  = 2
	simulatedSidecars = 3
	simulatedKeys     = 3
	// keylessID is the first number of orders without a key. Each submission of such an order has its own number.
	keylessID = 1000
	// submissionDeadline is long enough for an order and its repeated submissions.
	submissionDeadline = 10 * time.Second
)

var errCut = eris.New("connection cut")

// submission is one request of a caller at one entry.
type submission struct {
	entry, order, body int
	machine            machineVariant
	action             ledger.Action
	priorRuns          int
	attempts           waxwingpick.Set[string]
	inFlight, killed   bool
	paused             bool
}

// String returns how the submission ended.
func (s *submission) String() string {
	switch {
	case s.killed:
		return "killed"
	case s.action.Kind != ledger.ActDone:
		return "pending"
	case s.action.Answer != nil:
		return "answered"
	}
	return string(s.action.Refusal.Outcome)
}

// message is an attempt in transit to a sidecar.
type message struct {
	attempt ledger.Attempt
	order   int
	body    int
	from    *submission
}

// job is an admitted attempt at a sidecar.
type job struct {
	message
	started bool
	crashed bool
}

type sidecar struct {
	guard    *ledger.Guard
	boots    int
	paused   bool
	stale    string
	messages []message
	jobs     []job
}

type delayedWrite struct {
	store  int
	action ledger.Action
}

// simulation is a key-value service, sidecars and entries with every fault, stepped in any order.
type simulation struct {
	variant     variant
	now         time.Time
	stores      [simulatedEntries]map[string]waxwingpick.Entry
	revision    int64
	down        bool
	delayed     []delayedWrite
	sidecars    [simulatedSidecars]*sidecar
	submissions []*submission
	keys        [simulatedKeys]ledger.Key
	runs        map[int][]string
	ran         waxwingpick.Set[string]
	ids         int
	faults      int
}

func newSimulation(v variant, keys [simulatedKeys]ledger.Key) *simulation {
	sim := &simulation{
		variant: v,
		now:     start,
		keys:    keys,
		runs:    make(map[int][]string),
	}
	for i := range sim.stores {
		sim.stores[i] = make(map[string]waxwingpick.Entry)
	}
	for i := range sim.sidecars {
		sim.sidecars[i] = &sidecar{}
		sim.boot(i)
	}
	return sim
}

func (sim *simulation) boot(i int) {
	s := sim.sidecars[i]
	s.boots++
	opts := []ledger.GuardOption{ledger.WithWindow(time.Minute, 4)}
	if sim.variant.smallGuards {
		opts = append(opts, ledger.WithGuardMemory(16, 64))
	}
	guard, err := ledger.NewGuard(fmt.Sprintf("sidecar%d-%d", i, s.boots), sim.now, opts...)
	if err != nil {
		panic(err)
	}
	s.guard = guard
	s.stale = guard.Incarnation(sim.now)
	s.jobs = nil
	for _, sub := range sim.submissions {
		if sub.action.Kind == ledger.ActRun && sim.sidecarOf(sub.action.Attempt) == s {
			sim.reply(sub, sub.action.Attempt, ledger.Response{}, errCut)
		}
	}
}

func (sim *simulation) store(entry int) map[string]waxwingpick.Entry {
	if sim.variant.memoryPerEntry {
		return sim.stores[entry]
	}
	return sim.stores[0]
}

func (sim *simulation) swap(entry int, a ledger.Action) (waxwingpick.Entry, error) {
	store := sim.store(entry)
	if store[a.Key].Revision != a.Expected && !sim.variant.blindWrites {
		return waxwingpick.Entry{}, waxwingpick.ErrConflict
	}
	sim.revision++
	e := waxwingpick.Entry{
		Key:      a.Key,
		Value:    a.Value,
		Revision: sim.revision,
	}
	store[a.Key] = e
	return e, nil
}

// send submits an order through an entry. Orders from keylessID on have no key.
func (sim *simulation) send(entry, order, body int, deadline time.Duration) *submission {
	o := ledger.Order{
		BodyHash: fmt.Sprint(body),
		Deadline: sim.now.Add(deadline),
	}
	if order < simulatedKeys {
		o.Key = waxwingpick.Some(sim.keys[order])
	}
	machine := ledger.NewMachine(o, entryPolicy, func() string {
		sim.ids++
		return fmt.Sprintf("attempt%d", sim.ids)
	})
	s := &submission{
		entry:     entry,
		order:     order,
		body:      body,
		machine:   machine,
		priorRuns: len(sim.runs[order]),
	}
	if sim.variant.wrap != nil {
		s.machine = sim.variant.wrap(machine)
	}
	s.action = s.machine.Start(sim.now)
	sim.submissions = append(sim.submissions, s)
	return s
}

// step performs one submission's pending action, with the given fault.
func (sim *simulation) step(s *submission, fault int) {
	switch s.action.Kind {
	case ledger.ActChoose:
		s.action = sim.choose(s, fault)
	case ledger.ActWrite:
		entry, err := sim.write(s.entry, s.action, fault)
		s.action = s.machine.Written(sim.now, entry, err)
	case ledger.ActRead:
		s.action = sim.read(s, fault)
	case ledger.ActRun:
		sim.run(s, fault)
	case ledger.ActFence:
		s.action = sim.fence(s, fault)
	case ledger.ActWait:
		sim.now = sim.now.Add(s.action.Delay)
		s.action = s.machine.Waited()
	case ledger.ActDone:
	}
}

func (sim *simulation) choose(s *submission, fault int) ledger.Action {
	for i, side := range sim.sidecars {
		id := waxwingpick.TargetID(fmt.Sprint(i))
		if s.machine.Tried().Has(id) {
			continue
		}
		to := ledger.Attempt{
			Target:      id,
			Incarnation: side.guard.Incarnation(sim.now),
		}
		if fault == 1 {
			to.Incarnation = side.stale
		}
		return s.machine.Chosen(sim.now, to, nil)
	}
	return s.machine.Chosen(sim.now, ledger.Attempt{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, ""))
}

func (sim *simulation) write(entry int, a ledger.Action, fault int) (waxwingpick.Entry, error) {
	if sim.down || fault == 1 {
		return waxwingpick.Entry{}, waxwingpick.ErrUnavailable
	}
	switch fault {
	case 2:
		_, _ = sim.swap(entry, a)
		return waxwingpick.Entry{}, waxwingpick.ErrUnknownOutcome
	case 3:
		return waxwingpick.Entry{}, waxwingpick.ErrUnknownOutcome
	case 4:
		sim.delayed = append(sim.delayed, delayedWrite{
			store:  entry,
			action: a,
		})
		return waxwingpick.Entry{}, waxwingpick.ErrUnknownOutcome
	}
	return sim.swap(entry, a)
}

func (sim *simulation) read(s *submission, fault int) ledger.Action {
	if sim.down || fault == 1 {
		return s.machine.Read(sim.now, waxwingpick.Entry{}, waxwingpick.ErrUnavailable)
	}
	return s.machine.Read(sim.now, sim.store(s.entry)[s.action.Key], nil)
}

// run sends the attempt: the request may be lost, cut after it was sent, or duplicated.
func (sim *simulation) run(s *submission, fault int) {
	if s.inFlight {
		return
	}
	s.attempts.Add(s.action.Attempt.ID)
	m := message{
		attempt: s.action.Attempt,
		order:   s.order,
		body:    s.body,
		from:    s,
	}
	if fault == 1 {
		s.action = s.machine.Ran(sim.now, ledger.Response{}, waxwingpick.ErrEngineUnreachable)
		return
	}
	side := sim.sidecarOf(m.attempt)
	if fault != 2 {
		side.messages = append(side.messages, m)
	}
	if fault == 3 {
		// A duplicate made by the network has no connection for a reply.
		m.from = &submission{}
		side.messages = append(side.messages, m)
	}
	s.inFlight = true
	if fault == 2 || fault == 4 {
		sim.reply(s, m.attempt, ledger.Response{}, errCut)
	}
}

func (sim *simulation) sidecarOf(a ledger.Attempt) *sidecar {
	return sim.sidecars[int(a.Target[0]-'0')]
}

func (sim *simulation) fence(s *submission, fault int) ledger.Action {
	a := s.action.Attempt
	side := sim.sidecarOf(a)
	if fault == 1 || side.paused {
		return s.machine.Fenced(sim.now, "", nil, errCut)
	}
	standing, answer := side.fence(sim, a)
	if fault == 2 {
		return s.machine.Fenced(sim.now, "", nil, errCut)
	}
	return s.machine.Fenced(sim.now, standing, answer, nil)
}

func (s *sidecar) fence(sim *simulation, a ledger.Attempt) (ledger.AttemptState, *ledger.Response) {
	if !sim.variant.forgetFences {
		return s.guard.Fence(sim.now, a.ID, a.Incarnation)
	}
	for _, j := range s.jobs {
		if j.attempt.ID == a.ID {
			return ledger.StandingRunning, nil
		}
	}
	if sim.ran.Has(a.ID) {
		return ledger.StandingLost, nil
	}
	return ledger.StandingFenced, nil
}

// reply ends the call that waits for the attempt, if its connection is still open.
func (sim *simulation) reply(s *submission, a ledger.Attempt, answer ledger.Response, err error) {
	if s.killed || !s.inFlight || s.action.Kind != ledger.ActRun || s.action.Attempt.ID != a.ID {
		return
	}
	s.inFlight = false
	s.action = s.machine.Ran(sim.now, answer, err)
}
