package sidecar

import (
	"context"

	"github.com/valyala/fasthttp"

	"waxwingpick"
)

// Identity is whose attempts a sidecar takes. An address may be given to another instance while entries still hold the
// former list, so each attempt says whom it is for.
type Identity struct {
	// Fleet is the fleet's name from the settings.
	Fleet  string
	Target waxwingpick.TargetID
}

func (i Identity) takes(a Attempt) bool {
	return a.Fleet == i.Fleet && a.Target == i.Target
}

// selective answers attempts that are for another target or fleet, and passes on the others.
type selective struct {
	Handler
	self Identity
}

var _ Handler = selective{}

func (s selective) refusal() *waxwingpick.Refusal {
	return waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, 0, "another target has the address now: "+string(s.self.Target))
}

// Generate runs an attempt that is for this target.
func (s selective) Generate(ctx context.Context, a Attempt, body []byte, send SendFunc) {
	if s.self.takes(a) {
		s.Handler.Generate(ctx, a, body, send)
		return
	}
	// A failed write means that the entry is gone.
	_ = send(Frame{
		Attempt: a.ID,
		Refusal: s.refusal(),
	})
}

// Resume resumes an attempt that is for this target; any other may run elsewhere, so its stream counts as broken.
func (s selective) Resume(ctx context.Context, a Attempt, send SendFunc) {
	if s.self.takes(a) {
		s.Handler.Resume(ctx, a, send)
		return
	}
	// A failed write means that the entry is gone.
	_ = send(Frame{
		Attempt: a.ID,
		Broken:  true,
	})
}

// Cancel cancels an attempt that is for this target.
func (s selective) Cancel(ctx context.Context, a Attempt) {
	if s.self.takes(a) {
		s.Handler.Cancel(ctx, a)
	}
}

// Prefill runs the first leg of an attempt that is for this target.
func (s selective) Prefill(ctx context.Context, a Attempt, body []byte) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if s.self.takes(a) {
		return s.Handler.Prefill(ctx, a, body)
	}
	return waxwingpick.KVExport{}, s.refusal()
}

// Export exports the KV cache of a moved stream that is this target's.
func (s selective) Export(ctx context.Context, a Attempt) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if s.self.takes(a) {
		return s.Handler.Export(ctx, a)
	}
	return waxwingpick.KVExport{}, s.refusal()
}

// Call runs a call that is for this target.
func (s selective) Call(ctx context.Context, a Attempt, body []byte) Result {
	if s.self.takes(a) {
		return s.Handler.Call(ctx, a, body)
	}
	return Result{
		Attempt: a.ID,
		Status:  fasthttp.StatusOK,
		Refusal: s.refusal(),
	}
}
