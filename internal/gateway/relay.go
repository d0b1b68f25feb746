package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// errNotResumed means that a target did not begin a resumed stream after the last event that its caller has.
var errNotResumed = eris.New("stream does not continue where it broke off")

// relay forwards the events of a stream as they arrive. A stream that breaks is resumed at another target if its route
// allows that. Otherwise its reader gets an error, so that the response does not look complete.
type relay struct {
	x       *exchange
	chosen  selection
	attempt sendResult
	// rest holds the unread bytes of the current event, and lastID the ID of the last event received. events counts the
	// events of the current attempt.
	rest   []byte
	lastID string
	events int
	endErr error
	once   sync.Once
}

func newRelay(x *exchange, chosen selection, s sendResult) *relay {
	return &relay{
		x:       x,
		chosen:  chosen,
		attempt: s,
		rest:    s.first.Bytes,
		lastID:  s.first.ID,
		events:  1,
	}
}

// Read returns bytes of complete events only.
func (r *relay) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.endErr != nil {
			return 0, r.endErr
		}
		r.next()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// next receives the next event, or the end of the stream.
func (r *relay) next() {
	asked := r.x.process.timers.Now()
	event, err := r.attempt.reply.Events.Next()
	if err != nil {
		err = r.x.proveStreamEnd(r.chosen, r.attempt.reply, err)
		r.x.recordStreamEnd(r.chosen, r.attempt, r.events, r.lastID, err)
	}
	switch {
	case err == nil:
		r.rest = event.Bytes
		r.events++
		if r.x.route.PauseObjective > 0 {
			r.x.service.eventReceived(asked, r.x.process.timers.Now(), r.chosen)
		}
		if event.ID != "" {
			r.lastID = event.ID
		}
	case errors.Is(err, io.EOF):
		r.endErr = io.EOF
	case !r.resume(err):
		r.endErr = err
	}
}

// resume continues the stream at another target after the last event that the caller received, and reports whether that
// target sent its first event.
func (r *relay) resume(cause error) bool {
	x := r.x
	r.attempt.err = cause
	r.attempt.refusal = waxwingpick.Unknown(reasonOf(cause), "stream interrupted")
	x.recordAttempt(r.chosen, r.attempt)
	if !x.route.Resumable || r.lastID == "" {
		return false
	}
	for {
		if !x.awaitRetry(r.attempt) {
			return false
		}
		x.closeAttempt(r.chosen, r.attempt)
		chosen, refusal := x.choose()
		if refusal != nil {
			r.chosen = selection{}
			return false
		}
		x.in.ResumeAfter = r.lastID
		r.chosen, r.attempt = x.send(chosen)
		if r.attempt.refusal == nil && r.attempt.reply.Events != nil && r.continues() {
			x.service.streamStarted(x.process.timers.Now(), r.chosen)
			r.rest = r.attempt.first.Bytes
			r.lastID = cmp.Or(r.attempt.first.ID, r.lastID)
			r.events = 1
			return true
		}
	}
}

// continues reports whether the stream of the attempt begins after the last event that the caller received. If not, the
// attempt counts as failed.
func (r *relay) continues() bool {
	if eventFollows(r.attempt.first.ID, r.lastID) {
		return true
	}
	r.attempt.err = fmt.Errorf("%w: %w: event %q after event %q", waxwingpick.ErrEngineLost, errNotResumed, r.attempt.first.ID, r.lastID)
	r.attempt.refusal = waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "stream not resumed after its last event")
	r.x.recordAttempt(r.chosen, r.attempt)
	return false
}

// eventFollows reports whether an event may come after the last one of a stream. IDs increase; one that is absent or is not a
// number can only be compared for equality.
func eventFollows(id, last string) bool {
	next, errNext := strconv.ParseUint(id, 10, 64)
	previous, errPrevious := strconv.ParseUint(last, 10, 64)
	if errNext != nil || errPrevious != nil {
		return id != last
	}
	return next > previous
}

// Close ends the stream. The caller may have disconnected before its end.
func (r *relay) Close() error {
	r.once.Do(func() {
		if r.chosen.target.ID != "" {
			r.x.closeAttempt(r.chosen, r.attempt)
		}
		r.x.finish(r.refusal())
	})
	return nil
}

// refusal returns why the stream was not delivered completely; nil if it was.
func (r *relay) refusal() *waxwingpick.Refusal {
	switch {
	case errors.Is(r.endErr, io.EOF):
		return nil
	case r.endErr == nil:
		// The server stopped reading before the end because the caller disconnected.
		r.x.callerLeft = true
		return waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "caller disconnected during the stream")
	}
	return waxwingpick.Unknown(reasonOf(r.endErr), r.endErr.Error())
}
