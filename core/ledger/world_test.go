package ledger_test

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/ledger"
)

// sender is the part of a machine that a naive variant may replace.
type sender interface {
	Start(now time.Time) ledger.Action
	Chosen(now time.Time, to ledger.Attempt, err error) ledger.Action
	Written(now time.Time, entry waxwingpick.Entry, err error) ledger.Action
	Read(now time.Time, entry waxwingpick.Entry, err error) ledger.Action
	Ran(now time.Time, answer ledger.Answer, err error) ledger.Action
	Barred(now time.Time, standing ledger.Standing, answer *ledger.Answer, err error) ledger.Action
	Waited() ledger.Action
	Epilogue() (ledger.Action, bool)
	Tried() waxwingpick.Set[waxwingpick.TargetID]
}

// variant switches the world to a naive way.
type variant struct {
	wrap           func(*ledger.Machine) sender
	memoryPerEntry bool
	forgetBars     bool
	anyIncarnation bool
	blindWrites    bool
	bareSweeps     bool
	smallGuards    bool
}

const (
	worldEntries  = 2
	worldSidecars = 3
	worldKeys     = 3
	// keylessID numbers the orders without a key, one for each sending.
	keylessID = 1000
	// lifeDeadline is long enough for an order and its resends.
	lifeDeadline = 10 * time.Second
)

var errCut = eris.New("connection cut")

// sending is one request of a caller at one entry.
type sending struct {
	entry, order, body int
	machine            sender
	action             ledger.Action
	runsBefore         int
	attempts           waxwingpick.Set[string]
	inFlight, dead     bool
	paused             bool
}

// String tells how the sending ended.
func (s *sending) String() string {
	switch {
	case s.dead:
		return "killed"
	case s.action.Kind != ledger.ActDone:
		return "pending"
	case s.action.Answer != nil:
		return "answered"
	}
	return string(s.action.Refusal.Outcome)
}

// message is an attempt on its way to a sidecar.
type message struct {
	attempt ledger.Attempt
	order   int
	body    int
	from    *sending
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

// world is a key-value service, sidecars and entries with every fault, stepped in any order.
type world struct {
	variant  variant
	now      time.Time
	stores   [worldEntries]map[string]waxwingpick.Entry
	revision int64
	down     bool
	delayed  []delayedWrite
	sidecars [worldSidecars]*sidecar
	sendings []*sending
	keys     [worldKeys]ledger.Key
	runs     map[int][]string
	ran      waxwingpick.Set[string]
	ids      int
	faults   int
}

func newWorld(v variant, keys [worldKeys]ledger.Key) *world {
	w := &world{
		variant: v,
		now:     start,
		keys:    keys,
		runs:    make(map[int][]string),
	}
	for i := range w.stores {
		w.stores[i] = make(map[string]waxwingpick.Entry)
	}
	for i := range w.sidecars {
		w.sidecars[i] = &sidecar{}
		w.boot(i)
	}
	return w
}

func (w *world) boot(i int) {
	s := w.sidecars[i]
	s.boots++
	opts := []ledger.GuardOption{ledger.WithWindow(time.Minute, 4)}
	if w.variant.smallGuards {
		opts = append(opts, ledger.WithGuardMemory(16, 64))
	}
	guard, err := ledger.NewGuard(fmt.Sprintf("sidecar%d-%d", i, s.boots), w.now, opts...)
	if err != nil {
		panic(err)
	}
	s.guard = guard
	s.stale = guard.Incarnation(w.now)
	s.jobs = nil
	for _, sending := range w.sendings {
		if sending.action.Kind == ledger.ActRun && w.sidecarOf(sending.action.Attempt) == s {
			w.reply(sending, sending.action.Attempt, ledger.Answer{}, errCut)
		}
	}
}

func (w *world) store(entry int) map[string]waxwingpick.Entry {
	if w.variant.memoryPerEntry {
		return w.stores[entry]
	}
	return w.stores[0]
}

func (w *world) swap(entry int, a ledger.Action) (waxwingpick.Entry, error) {
	store := w.store(entry)
	if store[a.Key].Revision != a.Expected && !w.variant.blindWrites {
		return waxwingpick.Entry{}, waxwingpick.ErrConflict
	}
	w.revision++
	e := waxwingpick.Entry{
		Key:      a.Key,
		Value:    a.Value,
		Revision: w.revision,
	}
	store[a.Key] = e
	return e, nil
}

// send lets a caller send an order through an entry; order keylessID and above have no key.
func (w *world) send(entry, order, body int, deadline time.Duration) *sending {
	o := ledger.Order{
		BodyHash: fmt.Sprint(body),
		Deadline: w.now.Add(deadline),
	}
	if order < worldKeys {
		o.Key = waxwingpick.Some(w.keys[order])
	}
	machine := ledger.NewMachine(o, entryPolicy, func() string {
		w.ids++
		return fmt.Sprintf("attempt%d", w.ids)
	})
	s := &sending{
		entry:      entry,
		order:      order,
		body:       body,
		machine:    machine,
		runsBefore: len(w.runs[order]),
	}
	if w.variant.wrap != nil {
		s.machine = w.variant.wrap(machine)
	}
	s.action = s.machine.Start(w.now)
	w.sendings = append(w.sendings, s)
	return s
}

// step takes one sending's pending action, with a fault where fault says so.
func (w *world) step(s *sending, fault int) {
	switch s.action.Kind {
	case ledger.ActChoose:
		s.action = w.choose(s, fault)
	case ledger.ActWrite:
		entry, err := w.write(s.entry, s.action, fault)
		s.action = s.machine.Written(w.now, entry, err)
	case ledger.ActRead:
		s.action = w.read(s, fault)
	case ledger.ActRun:
		w.run(s, fault)
	case ledger.ActBar:
		s.action = w.bar(s, fault)
	case ledger.ActWait:
		w.now = w.now.Add(s.action.Delay)
		s.action = s.machine.Waited()
	case ledger.ActDone:
	}
}

func (w *world) choose(s *sending, fault int) ledger.Action {
	for i, side := range w.sidecars {
		id := waxwingpick.TargetID(fmt.Sprint(i))
		if s.machine.Tried().Has(id) {
			continue
		}
		to := ledger.Attempt{
			Target:      id,
			Incarnation: side.guard.Incarnation(w.now),
		}
		if fault == 1 {
			to.Incarnation = side.stale
		}
		return s.machine.Chosen(w.now, to, nil)
	}
	return s.machine.Chosen(w.now, ledger.Attempt{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, ""))
}

func (w *world) write(entry int, a ledger.Action, fault int) (waxwingpick.Entry, error) {
	if w.down || fault == 1 {
		return waxwingpick.Entry{}, waxwingpick.ErrUnavailable
	}
	switch fault {
	case 2:
		_, _ = w.swap(entry, a)
		return waxwingpick.Entry{}, waxwingpick.ErrUnknownOutcome
	case 3:
		return waxwingpick.Entry{}, waxwingpick.ErrUnknownOutcome
	case 4:
		w.delayed = append(w.delayed, delayedWrite{
			store:  entry,
			action: a,
		})
		return waxwingpick.Entry{}, waxwingpick.ErrUnknownOutcome
	}
	return w.swap(entry, a)
}

func (w *world) read(s *sending, fault int) ledger.Action {
	if w.down || fault == 1 {
		return s.machine.Read(w.now, waxwingpick.Entry{}, waxwingpick.ErrUnavailable)
	}
	return s.machine.Read(w.now, w.store(s.entry)[s.action.Key], nil)
}

// run puts the attempt on its way: cut before it leaves, cut behind it, or sent twice.
func (w *world) run(s *sending, fault int) {
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
		s.action = s.machine.Ran(w.now, ledger.Answer{}, waxwingpick.ErrEngineUnreachable)
		return
	}
	side := w.sidecarOf(m.attempt)
	if fault != 2 {
		side.messages = append(side.messages, m)
	}
	if fault == 3 {
		// A copy that the network made has no connection for a reply.
		m.from = &sending{}
		side.messages = append(side.messages, m)
	}
	s.inFlight = true
	if fault == 2 || fault == 4 {
		w.reply(s, m.attempt, ledger.Answer{}, errCut)
	}
}

func (w *world) sidecarOf(a ledger.Attempt) *sidecar {
	return w.sidecars[int(a.Target[0]-'0')]
}

func (w *world) bar(s *sending, fault int) ledger.Action {
	a := s.action.Attempt
	side := w.sidecarOf(a)
	if fault == 1 || side.paused {
		return s.machine.Barred(w.now, "", nil, errCut)
	}
	standing, answer := side.bar(w, a)
	if fault == 2 {
		return s.machine.Barred(w.now, "", nil, errCut)
	}
	return s.machine.Barred(w.now, standing, answer, nil)
}

func (s *sidecar) bar(w *world, a ledger.Attempt) (ledger.Standing, *ledger.Answer) {
	if !w.variant.forgetBars {
		return s.guard.Bar(w.now, a.ID, a.Incarnation)
	}
	for _, j := range s.jobs {
		if j.attempt.ID == a.ID {
			return ledger.StandingRunning, nil
		}
	}
	if w.ran.Has(a.ID) {
		return ledger.StandingLost, nil
	}
	return ledger.StandingBarred, nil
}

// reply ends the call that waits for the attempt, if its connection is still there.
func (w *world) reply(s *sending, a ledger.Attempt, answer ledger.Answer, err error) {
	if s.dead || !s.inFlight || s.action.Kind != ledger.ActRun || s.action.Attempt.ID != a.ID {
		return
	}
	s.inFlight = false
	s.action = s.machine.Ran(w.now, answer, err)
}
