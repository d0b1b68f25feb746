package ledger

import (
	"errors"
	"time"

	"waxwingpick"
)

// markNotRun records that the current attempt did not run and never will.
func (m *Machine) markNotRun() {
	m.claim.State = ClaimNotRun
	m.notRun.Add(m.claim.Attempt.ID)
}

func (m *Machine) done(answer *Response) Action {
	if answer == nil {
		return m.unknownRetryable(waxwingpick.ReasonTargetLost, "the order ran but its answer is not stored")
	}
	return Action{
		Kind:   ActDone,
		Answer: answer,
	}
}

// answer ends the submission with the target's response, which is stored in the claim unless it is too large.
func (m *Machine) answer(answer *Response) Action {
	if answer != nil && answer.size() <= maxStoredAnswer {
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

// giveUp ends the submission as not run if it is certain that nothing ran for the key. Otherwise it first requests a
// read of the claim.
func (m *Machine) giveUp() Action {
	if !m.nothingRan {
		return m.read()
	}
	if m.refusal == nil {
		m.refusal = waxwingpick.NotRun(waxwingpick.ReasonOverload, defaultRetryAfter, "too many concurrent requests with the same key")
	}
	return m.refuse(m.refusal)
}

// unknownFinal ends the submission where the outcome can't be determined later either.
func (m *Machine) unknownFinal(reason waxwingpick.Reason, detail string) Action {
	m.claim.State = ClaimUnknown
	return m.refuse(waxwingpick.Unknown(reason, detail))
}

// unknownRetryable ends the submission where a later request may determine the outcome.
func (m *Machine) unknownRetryable(reason waxwingpick.Reason, detail string) Action {
	refusal := waxwingpick.Unknown(reason, detail)
	if m.keyed {
		refusal.RetryAfter = defaultRetryAfter
	}
	return m.refuse(refusal)
}

// writeRefused gives up after a refused claim write. If the claim has not been read yet, a read may still show that
// nothing ran.
func (m *Machine) writeRefused(err error) Action {
	m.readOnly = true
	m.refusal = waxwingpick.NotRun(waxwingpick.ReasonKeyValue, defaultRetryAfter, err.Error())
	return m.giveUp()
}

// outage ends the submission when the claim can be neither written nor read. No attempt of it is in progress then.
// Only a read of the claim tells a first submission from a repeated one whose first submission may have run.
func (m *Machine) outage(err error) Action {
	if m.nothingRan {
		return m.refuse(waxwingpick.NotRun(waxwingpick.ReasonKeyValue, defaultRetryAfter, err.Error()))
	}
	return m.unknownRetryable(waxwingpick.ReasonKeyValue, "this request did not run, but an earlier one may have run: "+err.Error())
}

func (m *Machine) pause(now time.Time) Action {
	if !now.Add(m.wait).Before(m.order.Deadline) {
		return m.unknownRetryable(waxwingpick.ReasonDeadline, "the attempt is still running")
	}
	delay := m.wait
	m.wait = min(2*m.wait, maxWait)
	return Action{
		Kind:  ActWait,
		Delay: delay,
	}
}

// refusalOf returns the refusal in err's chain, or a new one for a submission that did not run.
func refusalOf(err error, reason waxwingpick.Reason) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == waxwingpick.OutcomeNotRun {
		return refusal
	}
	return waxwingpick.NotRun(reason, defaultRetryAfter, err.Error())
}
