package ledger_test

import (
	"errors"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/internal/rapidtest"
)

// deliver passes the oldest message to a sidecar on to its guard.
func (sim *simulation) deliver(side *sidecar) {
	if len(side.messages) == 0 {
		return
	}
	m := side.messages[0]
	side.messages = side.messages[1:]
	incarnation := m.attempt.Incarnation
	if sim.variant.anyIncarnation {
		incarnation = side.guard.Incarnation(sim.now)
	}
	if err := side.guard.Admit(sim.now, m.attempt.ID, incarnation); err != nil {
		sim.reply(m.from, m.attempt, ledger.Response{}, err)
		return
	}
	side.jobs = append(side.jobs, job{
		message: m,
	})
}

// work advances a sidecar's oldest job by one step. The job is refused in the queue, sent to the target with or without a
// crash, or answered.
func (sim *simulation) work(side *sidecar, fault int) {
	if len(side.jobs) == 0 {
		return
	}
	j := &side.jobs[0]
	id := j.attempt.ID
	if !j.started {
		sim.startJob(side, j, fault)
		return
	}
	answer := ledger.Response{
		Status: 200,
		Body:   fmt.Appendf(nil, "%d/%d", j.order, j.body),
	}
	err := error(nil)
	if fault == 1 || j.crashed {
		side.guard.MarkLost(id)
		err = waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "")
		sim.faults++
	} else {
		side.guard.Finish(id, answer)
	}
	from, attempt := j.from, j.attempt
	side.jobs = side.jobs[1:]
	sim.reply(from, attempt, answer, err)
}

func (sim *simulation) startJob(side *sidecar, j *job, fault int) {
	id := j.attempt.ID
	if fault == 2 && side.guard.Refuse(id) || !side.guard.Start(id) {
		sim.refuseJob(side, waxwingpick.ReasonOverload)
		return
	}
	j.started = true
	switch fault {
	case 3:
		// The target crashes before the order takes effect, which the sidecar can't detect.
		sim.faults++
		j.crashed = true
	case 4:
		side.guard.MarkUnsent(id)
		sim.refuseJob(side, waxwingpick.ReasonTargetUnreachable)
	default:
		sim.runs[j.order] = append(sim.runs[j.order], id)
		sim.ran.Add(id)
	}
}

func (sim *simulation) refuseJob(side *sidecar, reason waxwingpick.Reason) {
	j := side.jobs[0]
	side.jobs = side.jobs[1:]
	sim.reply(j.from, j.attempt, ledger.Response{}, waxwingpick.NotRun(reason, time.Second, ""))
}

// act takes one random step of the simulation.
func (sim *simulation) act(d rapidtest.Draw) {
	side := sim.sidecars[d(simulatedSidecars)]
	switch d(14) {
	case 0, 1:
		sim.send(d(simulatedEntries), sim.drawOrder(d), d(8)/7, submissionDeadline)
	case 2:
		sim.deliver(side)
	case 3:
		sim.work(side, d(8))
	case 4:
		sim.fault(side, d)
	default:
		if len(sim.submissions) > 0 {
			sim.step(sim.submissions[d(len(sim.submissions))], d(8))
		}
	}
}

func (sim *simulation) drawOrder(d rapidtest.Draw) int {
	if d(6) == 0 {
		return keylessID + len(sim.submissions)
	}
	return d(simulatedKeys)
}

func (sim *simulation) fault(side *sidecar, d rapidtest.Draw) {
	switch d(10) {
	case 0:
		sim.down = !sim.down
	case 1:
		sim.faults++
		for i := range sim.sidecars {
			if sim.sidecars[i] == side {
				sim.boot(i)
			}
		}
	case 2:
		sim.now = sim.now.Add(time.Duration(d(90)) * time.Second)
	case 3:
		sim.faults++
		sim.now = sim.now.Add(5 * time.Minute)
	case 4:
		for _, write := range sim.delayed {
			_, _ = sim.swap(write.store, write.action)
		}
		sim.delayed = nil
	case 5:
		sim.killEntry(d(simulatedEntries))
	case 6:
		if len(sim.submissions) > 0 {
			s := sim.submissions[d(len(sim.submissions))]
			sim.reply(s, s.action.Attempt, ledger.Response{}, errCut)
		}
	case 7:
		if len(sim.submissions) > 0 {
			sim.writeOutcome(sim.submissions[d(len(sim.submissions))], d(6))
		}
	case 8:
		sim.faults++
		sim.now = sim.now.Add(time.Duration(d(40)) * time.Hour)
	case 9:
		sim.sweep(d)
	}
}

func (sim *simulation) killEntry(entry int) {
	for _, s := range sim.submissions {
		if s.entry == entry && s.action.Kind != ledger.ActDone {
			s.killed = true
			s.action = ledger.Action{
				Kind: ledger.ActDone,
			}
		}
	}
}

func (sim *simulation) writeOutcome(s *submission, fault int) {
	if s.killed || s.action.Kind != ledger.ActDone {
		return
	}
	if a, ok := s.machine.OutcomeWrite(); ok {
		_, _ = sim.write(s.entry, a, fault)
	}
}

// endFaults ends every fault and sends each order once more until it is done.
func (sim *simulation) endFaults() error {
	sim.down = false
	// Guards forget attempts over time, and a pause longer than a deadline ends submissions.
	recent := sim.now.Sub(start) < time.Minute
	sim.settle()
	for order := range simulatedKeys {
		s := sim.send(0, order, 0, time.Minute)
		sim.settle()
		if s.action.Kind != ledger.ActDone {
			return fmt.Errorf("order %d does not end", order)
		}
		if r := s.action.Refusal; r != nil && recent && sim.faults == 0 && !sim.variant.smallGuards && r.Reason != waxwingpick.ReasonKeyReuse {
			return fmt.Errorf("order %d is refused though no sidecar or target failed: %w", order, r)
		}
	}
	return sim.check()
}

func (sim *simulation) settle() {
	for range 400 {
		for _, side := range sim.sidecars {
			sim.deliver(side)
			sim.work(side, 0)
		}
		for _, s := range sim.submissions {
			sim.step(s, 0)
		}
	}
}

// check is the oracle. It compares what ran with the outcome that each caller received.
func (sim *simulation) check() error {
	for order, runs := range sim.runs {
		if len(runs) > 1 {
			return fmt.Errorf("order %d ran %d times: %v", order, len(runs), runs)
		}
	}
	for i, s := range sim.submissions {
		if err := sim.checkSubmission(s); err != nil {
			return fmt.Errorf("submission %d of order %d body %d: %w", i, s.order, s.body, err)
		}
	}
	return nil
}

func (sim *simulation) checkSubmission(s *submission) error {
	if s.killed || s.action.Kind != ledger.ActDone {
		return nil
	}
	if s.action.Answer != nil {
		want := fmt.Sprintf("%d/%d", s.order, s.body)
		if got := string(s.action.Answer.Body); got != want {
			return fmt.Errorf("answered %s", got)
		}
		if len(sim.runs[s.order]) == 0 {
			return errors.New("answered but never ran")
		}
		return nil
	}
	if s.action.Refusal.Outcome != waxwingpick.OutcomeNotRun || s.action.Refusal.Reason == waxwingpick.ReasonKeyReuse {
		return nil
	}
	if s.priorRuns > 0 {
		return fmt.Errorf("refused as not run (%w) though an earlier submission ran", s.action.Refusal)
	}
	for _, id := range s.attempts.Sorted() {
		if sim.ran.Has(id) {
			return fmt.Errorf("refused as not run (%w) though its %s ran", s.action.Refusal, id)
		}
	}
	return nil
}
