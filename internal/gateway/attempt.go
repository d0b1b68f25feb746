package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"waxwingpick"
	"waxwingpick/core/balance"
	"waxwingpick/core/placement"
	"waxwingpick/core/suspect"
)

const (
	// leastLate and mostLate bound when a caller is to come back whose request would have been late.
	leastLate = 100 * time.Millisecond
	mostLate  = 2 * time.Second
)

// sent is how one attempt ended, or began in the case of a stream.
type sent struct {
	reply waxwingpick.Dispatched
	// first is the first event of a stream.
	first waxwingpick.RawEvent
	// refusal says why the attempt gave no usable answer; nil where it did.
	refusal *waxwingpick.Refusal
	err     error
}

// unsent reports whether nothing reached the target.
func (s sent) unsent() bool {
	return errors.Is(s.err, waxwingpick.ErrEngineUnreachable)
}

// absent reports whether the target that was named is not there.
func (s sent) absent() bool {
	return s.unsent() && !s.ended() || s.reply.Misdirected || errors.Is(s.err, waxwingpick.ErrMisdirected)
}

// silent reports whether the target gave no answer, although it had the time.
func (s sent) silent() bool {
	return s.err != nil && !s.ended() && !errors.Is(s.err, waxwingpick.ErrEngineRefused)
}

// ended reports whether the attempt failed since its time was over or its caller left.
func (s sent) ended() bool {
	for _, end := range []error{context.DeadlineExceeded, context.Canceled, os.ErrDeadlineExceeded} {
		if errors.Is(s.err, end) {
			return true
		}
	}
	return false
}

// answered reports whether there is a target's answer that the caller may get.
func (s sent) answered() bool {
	return s.reply.Status != 0 && s.err == nil && !s.reply.NotRun
}

// choose picks the targets of the next attempt, or says why there are none.
func (x *exchange) choose() (pick, *waxwingpick.Refusal) {
	now := x.process.timers.Now()
	if err := x.ctx.Err(); err != nil {
		return pick{}, waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, err.Error())
	}
	if x.process.crashes.refuses(now, x.fingerprint()) {
		x.convicted(now)
		return pick{}, suspect.Refuse(suspicionKept)
	}
	if kept, ok := x.kept.Get(); ok {
		return x.chooseAgain(now, kept)
	}
	chosen, verdict := x.place(now)
	switch verdict {
	case waxwingpick.VerdictPlaced:
		x.chosen(now, chosen)
		return chosen, nil
	case waxwingpick.VerdictNone:
		return chosen, x.noTarget(now)
	case waxwingpick.VerdictLate:
		after := min(mostLate, max(leastLate, chosen.predicted-x.route.Aim))
		refusal := waxwingpick.NotRun(waxwingpick.ReasonDeadline, after, "no target would answer in time")
		x.unplaced(now, verdict, chosen.predicted, refusal)
		return chosen, refusal
	}
	panic("unknown verdict of the placement")
}

// place picks the engines or the target of the next attempt.
func (x *exchange) place(now time.Time) (pick, waxwingpick.Verdict) {
	if x.service.servesModels() {
		return x.service.chooseEngines(now, x.demand())
	}
	return x.service.chooseTarget(now, balance.Demand{
		Arrived:  x.in.Arrived,
		Aim:      x.route.Aim,
		Deadline: x.deadline,
		Sent:     x.calls > 0,
		Exclude:  x.tried,
	})
}

func (x *exchange) demand() placement.Demand {
	return placement.Demand{
		Prompt:   x.in.Prompt,
		Parts:    x.parts,
		Priority: x.route.Priority,
		Bytes:    len(x.in.Body),
		Deadline: x.firstBy(),
		Exclude:  x.tried,
	}
}

// firstBy returns when the first event is of no use any more.
func (x *exchange) firstBy() time.Time {
	if leaves := x.in.Arrived.Add(x.route.Silence); x.route.Silence > 0 && leaves.Before(x.deadline) {
		return leaves
	}
	return x.deadline
}

func (x *exchange) noTarget(now time.Time) *waxwingpick.Refusal {
	refusal := waxwingpick.NotRun(waxwingpick.ReasonNoTarget, noTargetRetry, "no target may take the request")
	x.unplaced(now, waxwingpick.VerdictNone, 0, refusal)
	return refusal
}

// send makes one attempt and waits for its answer, or for the first event of a stream. It returns the targets with the
// one that ran the request, which is known only after its prompt was read elsewhere.
func (x *exchange) send(chosen pick) (pick, sent) {
	x.calls++
	if chosen.toRead() {
		reader := chosen.prefill.OrElse(chosen.run)
		if s := x.read(chosen, reader); s.refusal != nil {
			x.countUnsent(s)
			x.tried = append(x.tried, reader.ID)
			return chosen, s
		}
		var ok bool
		if chosen, ok = x.service.chooseRun(x.process.timers.Now(), x.demand(), chosen); !ok {
			return chosen, sent{
				refusal: x.noTarget(x.process.timers.Now()),
			}
		}
	}
	x.attempts++
	x.tried = append(x.tried, chosen.run.ID)
	reply, err := x.process.options.Targets.Send(x.ctx, waxwingpick.Dispatch{
		Inbound:     x.in,
		Target:      chosen.run,
		CopyFrom:    copyFrom(chosen.runLeg),
		Remaining:   x.remaining(),
		Priority:    x.route.Priority,
		Source:      x.source(),
		ResumeAfter: x.resumeAfter(),
		Stream:      x.route.Kind == waxwingpick.RequestStream,
	})
	s := x.judge(reply, err)
	if s.refusal != nil {
		if s.unsent() {
			x.attempts--
		}
		x.countUnsent(s)
	}
	x.settle(s)
	if s.refusal == nil && reply.Events != nil {
		s = x.firstEvent(s)
	}
	x.attempted(chosen, s)
	return chosen, s
}

// countUnsent takes a sending of which nothing reached a target off the bound of all sendings.
func (x *exchange) countUnsent(s sent) {
	if s.unsent() {
		x.calls--
		x.unsent++
	}
}

// resumeAfter returns the event after which the caller wants a stream to go on, where its route allows that.
func (x *exchange) resumeAfter() string {
	if !x.route.Resumable {
		return ""
	}
	return x.in.ResumeAfter
}

func (x *exchange) remaining() time.Duration {
	return x.deadline.Sub(x.process.timers.Now())
}

// copyFrom returns the engine from which that of a leg copies KV cache; a plain service has no legs.
func copyFrom(leg *placement.Leg) waxwingpick.Option[waxwingpick.Target] {
	if leg == nil {
		return waxwingpick.None[waxwingpick.Target]()
	}
	return leg.From()
}

// judge tells what a target's answer or silence means.
func (x *exchange) judge(reply waxwingpick.Dispatched, err error) sent {
	s := sent{
		reply: reply,
		err:   err,
	}
	switch {
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		s.refusal = waxwingpick.NotRun(reasonOf(err), noTargetRetry, "nothing was sent")
	case err != nil:
		s.refusal = waxwingpick.Unknown(reasonOf(err), "target gave no whole answer")
	case reply.Misdirected:
		s.refusal = waxwingpick.NotRun(waxwingpick.ReasonStaleIncarnation, noTargetRetry, "another target has the address")
	case reply.NotRun:
		s.refusal = waxwingpick.NotRun(waxwingpick.ReasonOverload, noTargetRetry, "target did not run the request")
	case reply.Status >= http.StatusInternalServerError:
		// An answer nevertheless, which the caller gets unless another target does better.
		s.refusal = waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "target answered a failure")
	}
	return s
}

// firstEvent waits for the first event of a stream.
func (x *exchange) firstEvent(s sent) sent {
	event, err := s.reply.Events.Next()
	if err == nil {
		s.first = event
		return s
	}
	if errors.Is(err, io.EOF) {
		err = waxwingpick.ErrEngineLost
	}
	s.err = err
	s.refusal = waxwingpick.Unknown(reasonOf(err), "stream broke before its first event")
	return s
}

// reasonOf tells why an attempt failed.
func reasonOf(err error) waxwingpick.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return waxwingpick.ReasonDeadline
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		return waxwingpick.ReasonTargetUnreachable
	case errors.Is(err, waxwingpick.ErrEngineRefused):
		return waxwingpick.ReasonOverload
	}
	return waxwingpick.ReasonTargetLost
}

// closeAttempt ends an attempt whose answer is not passed on, or is passed on whole.
func (x *exchange) closeAttempt(chosen pick, s sent) {
	if s.reply.Events != nil {
		// What the target still sends belongs to nobody.
		_ = s.reply.Events.Close()
	}
	now := x.process.timers.Now()
	if s.absent() || s.silent() {
		x.service.failed(now, chosen, s.absent())
	}
	x.service.ended(now, chosen, s.refusal != nil, s.reply.Calls)
	x.noteCrash(chosen, s)
}

// noteCrash has the process find out whether an attempt failed because its target crashed.
func (x *exchange) noteCrash(chosen pick, s sent) {
	target, _ := chosen.last()
	switch {
	case !s.silent():
	case s.unsent():
		x.process.crashes.gone(target)
	default:
		x.process.crashes.lost(target, x.fingerprint())
	}
}

// deliver hands a target's answer to the caller.
func (x *exchange) deliver(chosen pick, s sent) waxwingpick.Outbound {
	x.service.answered()
	if s.reply.Events == nil {
		x.closeAttempt(chosen, s)
		return x.passOn(s)
	}
	now := x.process.timers.Now()
	x.service.begun(now, chosen)
	x.process.options.Metrics.FirstEvent(x.service.name, now.Sub(x.in.Arrived))
	return waxwingpick.Outbound{
		Status:  s.reply.Status,
		Headers: s.reply.Headers,
		Events:  newRelay(x, chosen, s),
	}
}

// passOn hands over a whole answer.
func (x *exchange) passOn(s sent) waxwingpick.Outbound {
	x.finish(nil)
	return waxwingpick.Outbound{
		Status:  s.reply.Status,
		Headers: s.reply.Headers,
		Body:    s.reply.Body,
	}
}
