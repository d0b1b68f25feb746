package ledger_test

import (
	"errors"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/internal/rapidtest"
)

// deliver takes the oldest message of a sidecar to its guard.
func (w *world) deliver(side *sidecar) {
	if len(side.messages) == 0 {
		return
	}
	m := side.messages[0]
	side.messages = side.messages[1:]
	incarnation := m.attempt.Incarnation
	if w.variant.anyIncarnation {
		incarnation = side.guard.Incarnation(w.now)
	}
	if err := side.guard.Admit(w.now, m.attempt.ID, incarnation); err != nil {
		w.reply(m.from, m.attempt, ledger.Answer{}, err)
		return
	}
	side.jobs = append(side.jobs, job{
		message: m,
	})
}

// work takes a sidecar's oldest job one step on: refused in the queue, handed to the target with or without a crash, or answered.
func (w *world) work(side *sidecar, fault int) {
	if len(side.jobs) == 0 {
		return
	}
	j := &side.jobs[0]
	id := j.attempt.ID
	if !j.started {
		w.startJob(side, j, fault)
		return
	}
	answer := ledger.Answer{
		Status: 200,
		Body:   fmt.Appendf(nil, "%d/%d", j.order, j.body),
	}
	err := error(nil)
	if fault == 1 || j.crashed {
		side.guard.Lose(id)
		err = waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "")
		w.faults++
	} else {
		side.guard.Finish(id, answer)
	}
	from, attempt := j.from, j.attempt
	side.jobs = side.jobs[1:]
	w.reply(from, attempt, answer, err)
}

func (w *world) startJob(side *sidecar, j *job, fault int) {
	id := j.attempt.ID
	if fault == 2 && side.guard.Refuse(id) || !side.guard.Start(id) {
		w.refuseJob(side, waxwingpick.ReasonOverload)
		return
	}
	j.started = true
	switch fault {
	case 3:
		// The target crashes before the order takes effect, which the sidecar can't tell.
		w.faults++
		j.crashed = true
	case 4:
		side.guard.Unsent(id)
		w.refuseJob(side, waxwingpick.ReasonTargetUnreachable)
	default:
		w.runs[j.order] = append(w.runs[j.order], id)
		w.ran.Add(id)
	}
}

func (w *world) refuseJob(side *sidecar, reason waxwingpick.Reason) {
	j := side.jobs[0]
	side.jobs = side.jobs[1:]
	w.reply(j.from, j.attempt, ledger.Answer{}, waxwingpick.NotRun(reason, time.Second, ""))
}

// act takes one random step of the world.
func (w *world) act(d rapidtest.Draw) {
	side := w.sidecars[d(worldSidecars)]
	switch d(14) {
	case 0, 1:
		w.send(d(worldEntries), w.drawOrder(d), d(8)/7, lifeDeadline)
	case 2:
		w.deliver(side)
	case 3:
		w.work(side, d(8))
	case 4:
		w.fault(side, d)
	default:
		if len(w.sendings) > 0 {
			w.step(w.sendings[d(len(w.sendings))], d(8))
		}
	}
}

func (w *world) drawOrder(d rapidtest.Draw) int {
	if d(6) == 0 {
		return keylessID + len(w.sendings)
	}
	return d(worldKeys)
}

func (w *world) fault(side *sidecar, d rapidtest.Draw) {
	switch d(10) {
	case 0:
		w.down = !w.down
	case 1:
		w.faults++
		for i := range w.sidecars {
			if w.sidecars[i] == side {
				w.boot(i)
			}
		}
	case 2:
		w.now = w.now.Add(time.Duration(d(90)) * time.Second)
	case 3:
		w.faults++
		w.now = w.now.Add(5 * time.Minute)
	case 4:
		for _, late := range w.delayed {
			_, _ = w.swap(late.store, late.action)
		}
		w.delayed = nil
	case 5:
		w.killEntry(d(worldEntries))
	case 6:
		if len(w.sendings) > 0 {
			s := w.sendings[d(len(w.sendings))]
			w.reply(s, s.action.Attempt, ledger.Answer{}, errCut)
		}
	case 7:
		if len(w.sendings) > 0 {
			w.epilogue(w.sendings[d(len(w.sendings))], d(6))
		}
	case 8:
		w.faults++
		w.now = w.now.Add(time.Duration(d(40)) * time.Hour)
	case 9:
		w.sweep(d)
	}
}

func (w *world) killEntry(entry int) {
	for _, s := range w.sendings {
		if s.entry == entry && s.action.Kind != ledger.ActDone {
			s.dead = true
			s.action = ledger.Action{
				Kind: ledger.ActDone,
			}
		}
	}
}

func (w *world) epilogue(s *sending, fault int) {
	if s.dead || s.action.Kind != ledger.ActDone {
		return
	}
	if a, ok := s.machine.Epilogue(); ok {
		_, _ = w.write(s.entry, a, fault)
	}
}

// heal ends every fault and lets each order be sent once more until it is done.
func (w *world) heal() error {
	w.down = false
	// Guards forget with time, and a pause longer than a deadline ends sendings.
	soon := w.now.Sub(start) < time.Minute
	w.settle()
	for order := range worldKeys {
		s := w.send(0, order, 0, time.Minute)
		w.settle()
		if s.action.Kind != ledger.ActDone {
			return fmt.Errorf("order %d never ends", order)
		}
		if r := s.action.Refusal; r != nil && soon && w.faults == 0 && !w.variant.smallGuards && r.Reason != waxwingpick.ReasonKeyReuse {
			return fmt.Errorf("order %d is refused though no sidecar or target failed: %w", order, r)
		}
	}
	return w.check()
}

func (w *world) settle() {
	for range 400 {
		for _, side := range w.sidecars {
			w.deliver(side)
			w.work(side, 0)
		}
		for _, s := range w.sendings {
			w.step(s, 0)
		}
	}
}

// check is the oracle: what ran, against what every caller was told.
func (w *world) check() error {
	for order, runs := range w.runs {
		if len(runs) > 1 {
			return fmt.Errorf("order %d ran %d times: %v", order, len(runs), runs)
		}
	}
	for i, s := range w.sendings {
		if err := w.checkSending(s); err != nil {
			return fmt.Errorf("sending %d of order %d body %d: %w", i, s.order, s.body, err)
		}
	}
	return nil
}

func (w *world) checkSending(s *sending) error {
	if s.dead || s.action.Kind != ledger.ActDone {
		return nil
	}
	if s.action.Answer != nil {
		want := fmt.Sprintf("%d/%d", s.order, s.body)
		if got := string(s.action.Answer.Body); got != want {
			return fmt.Errorf("answered %s", got)
		}
		if len(w.runs[s.order]) == 0 {
			return errors.New("answered but never ran")
		}
		return nil
	}
	if s.action.Refusal.Outcome != waxwingpick.OutcomeNotRun || s.action.Refusal.Reason == waxwingpick.ReasonKeyReuse {
		return nil
	}
	if s.runsBefore > 0 {
		return fmt.Errorf("refused as not run (%w) though an earlier sending ran", s.action.Refusal)
	}
	for _, id := range s.attempts.Sorted() {
		if w.ran.Has(id) {
			return fmt.Errorf("refused as not run (%w) though its %s ran", s.action.Refusal, id)
		}
	}
	return nil
}
