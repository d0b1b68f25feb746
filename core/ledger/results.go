package ledger

import (
	"errors"
	"time"

	"waxwingpick"
)

// bury notes that the current attempt never ran and never will.
func (m *Machine) bury() {
	m.claim.State = ClaimNotRun
	m.buried.Add(m.claim.Attempt.ID)
}

func (m *Machine) done(answer *Answer) Action {
	if answer == nil {
		return m.lost(waxwingpick.ReasonTargetLost, "the order ran, its answer is not kept")
	}
	return Action{
		Kind:   ActDone,
		Answer: answer,
	}
}

// answer ends the sending with the target's answer, which the claim keeps unless it is too large.
func (m *Machine) answer(answer *Answer) Action {
	if answer != nil && answer.size() <= maxKeptAnswer {
		m.claim.State = ClaimAnswered
		m.claim.Answer = answer
	}
	return m.done(answer)
}

func (m *Machine) refuse(refusal *waxwingpick.Refusal) Action {
	return Action{
		Kind:    ActDone,
		Refusal: refusal,
	}
}

// giveUp ends the sending as not run, once a look at the claim has shown that nothing ran for the key.
func (m *Machine) giveUp() Action {
	if !m.free {
		return m.read()
	}
	if m.refusal == nil {
		m.refusal = waxwingpick.NotRun(waxwingpick.ReasonOverload, defaultRetryAfter, "too many sendings of one key at once")
	}
	return m.refuse(m.refusal)
}

// unknown ends the sending where nobody will ever know more.
func (m *Machine) unknown(reason waxwingpick.Reason, detail string) Action {
	m.claim.State = ClaimUnknown
	return m.refuse(waxwingpick.Unknown(reason, detail))
}

// lost ends the sending where a later resend may learn more.
func (m *Machine) lost(reason waxwingpick.Reason, detail string) Action {
	refusal := waxwingpick.Unknown(reason, detail)
	if m.keyed {
		refusal.RetryAfter = defaultRetryAfter
	}
	return m.refuse(refusal)
}

// writeRefused gives up after a refused claim write; where nothing is known of the key yet, a read may still tell that nothing ran.
func (m *Machine) writeRefused(err error) Action {
	m.readOnly = true
	m.refusal = waxwingpick.NotRun(waxwingpick.ReasonKeyValue, defaultRetryAfter, err.Error())
	return m.giveUp()
}

// outage ends the sending when the claim can be neither written nor read; nothing of it is under way then.
// Only a look at the claim tells a first sending from a resend whose first sending may have run.
func (m *Machine) outage(err error) Action {
	if m.free {
		return m.refuse(waxwingpick.NotRun(waxwingpick.ReasonKeyValue, defaultRetryAfter, err.Error()))
	}
	return m.lost(waxwingpick.ReasonKeyValue, "this sending did not run, but an earlier one can't be ruled out: "+err.Error())
}

func (m *Machine) pause(now time.Time) Action {
	if !now.Add(m.wait).Before(m.order.Deadline) {
		return m.lost(waxwingpick.ReasonDeadline, "the attempt still runs")
	}
	delay := m.wait
	m.wait = min(2*m.wait, maxWait)
	return Action{
		Kind:  ActWait,
		Delay: delay,
	}
}

// refusalOf returns the refusal that err carries, or a new one for a sending that did not run.
func refusalOf(err error, reason waxwingpick.Reason) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == waxwingpick.OutcomeNotRun {
		return refusal
	}
	return waxwingpick.NotRun(reason, defaultRetryAfter, err.Error())
}
