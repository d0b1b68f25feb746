package gateway

import (
	"errors"
	"io"
	"sync"

	"waxwingpick"
)

// relay passes the events of a stream on as they come. A stream that breaks goes on at another target where its route
// allows that; else its reader gets an error, so that the answer does not look complete.
type relay struct {
	x       *exchange
	chosen  pick
	attempt sent
	// rest is what was not read yet of the newest event, last the ID of the newest one that was.
	rest []byte
	last string
	done error
	once sync.Once
}

func newRelay(x *exchange, chosen pick, s sent) *relay {
	return &relay{
		x:       x,
		chosen:  chosen,
		attempt: s,
		rest:    s.first.Bytes,
		last:    s.first.ID,
	}
}

// Read returns the bytes of whole events.
func (r *relay) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.done != nil {
			return 0, r.done
		}
		r.next()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// next takes the next event, or the end of the stream.
func (r *relay) next() {
	event, err := r.attempt.reply.Events.Next()
	switch {
	case err == nil:
		r.rest = event.Bytes
		if event.ID != "" {
			r.last = event.ID
		}
	case errors.Is(err, io.EOF):
		r.done = io.EOF
	case !r.resume(err):
		r.done = err
	}
}

// resume goes on at another target after the last event that the caller has, and reports whether that began.
func (r *relay) resume(cause error) bool {
	x := r.x
	r.attempt.err = cause
	r.attempt.refusal = waxwingpick.Unknown(reasonOf(cause), "stream broke")
	x.attempted(r.chosen, r.attempt)
	if !x.route.Resumable || r.last == "" {
		return false
	}
	for {
		if !x.again(r.attempt) {
			return false
		}
		x.closeAttempt(r.chosen, r.attempt)
		chosen, refusal := x.choose()
		if refusal != nil {
			r.chosen = pick{}
			return false
		}
		x.in.ResumeAfter = r.last
		r.chosen, r.attempt = x.send(chosen)
		if r.attempt.refusal == nil && r.attempt.reply.Events != nil {
			x.service.begun(x.process.timers.Now(), r.chosen)
			r.rest = r.attempt.first.Bytes
			r.last = r.attempt.first.ID
			return true
		}
	}
}

// Close ends the stream, also where the caller left before its end.
func (r *relay) Close() error {
	r.once.Do(func() {
		if r.chosen.run.ID != "" {
			r.x.closeAttempt(r.chosen, r.attempt)
		}
		r.x.finish(r.refusal())
	})
	return nil
}

// refusal says why the stream was not delivered whole; nil where it was.
func (r *relay) refusal() *waxwingpick.Refusal {
	switch {
	case errors.Is(r.done, io.EOF):
		return nil
	case r.done == nil:
		// The edge stopped reading before the end, as its caller takes no more.
		r.x.left = true
		return waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "caller left a stream that went on")
	}
	return waxwingpick.Unknown(reasonOf(r.done), r.done.Error())
}
