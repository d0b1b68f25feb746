package gateway

import (
	"errors"
	"time"

	"waxwingpick"
)

// countBegan counts a send in the usage of the request's workspace if its target began to run the request.
//
// A stream begins with its first event. For any other request, the target only tells that it has ended: it began when it was sent,
// or, if it had to wait for a slot, about the mean duration of a call before its end.
func (x *exchange) countBegan(chosen selection, s sendResult) {
	u := x.process.usage
	if u == nil || x.workspace.ID == "" || !x.hasBegun(chosen, s) {
		return
	}
	ago := time.Duration(0)
	if chosen.call != nil {
		ago = chosen.call.RunTime(x.process.timers.Now())
	}
	u.began(ago, x.workspace.ID)
}

// hasBegun reports whether the target of a send began to run the request, as far as can be told.
func (x *exchange) hasBegun(chosen selection, s sendResult) bool {
	switch {
	case s.unsent() || s.reply.NotRun || errors.Is(s.err, waxwingpick.ErrEngineRefused):
		return false
	case s.err == nil:
		return s.reply.Status != 0
	case x.route.Kind == waxwingpick.RequestStream:
		// A deadline or a caller that leaves may come before the first event, but a lost response was one.
		return !s.canceled()
	case s.canceled():
		return chosen.call != nil && chosen.call.FoundSlot()
	}
	return true
}
