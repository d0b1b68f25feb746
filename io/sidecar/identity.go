package sidecar

import (
	"context"

	"github.com/valyala/fasthttp"

	"waxwingpick"
)

// Identity names the fleet and the target whose attempts a sidecar accepts. The address of an instance may be
// reassigned while entries still use the previous list of instances, so each attempt names its fleet and target.
type Identity struct {
	// Fleet is the name of the fleet from the settings.
	Fleet  string
	Target waxwingpick.TargetID
}

func (i Identity) accepts(a Attempt) bool {
	return a.Fleet == i.Fleet && a.Target == i.Target
}

// identityFilter rejects attempts for another target or fleet, and forwards the others to Handler.
type identityFilter struct {
	Handler
	self Identity
}

var _ Handler = identityFilter{}

func (s identityFilter) refusal() *waxwingpick.Refusal {
	return waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, 0, "address now belongs to another target: "+string(s.self.Target))
}

// Generate runs an attempt for this target, and refuses any other.
func (s identityFilter) Generate(ctx context.Context, a Attempt, body []byte, send SendFunc) {
	if s.self.accepts(a) {
		s.Handler.Generate(ctx, a, body, send)
		return
	}
	// A failed write means that the entry has disconnected.
	_ = send(Frame{
		Attempt: a.ID,
		Refusal: s.refusal(),
	})
}

// Resume resumes an attempt for this target. Any other attempt may be running at its own target, so its stream is
// reported as broken instead of refused.
func (s identityFilter) Resume(ctx context.Context, a Attempt, send SendFunc) {
	if s.self.accepts(a) {
		s.Handler.Resume(ctx, a, send)
		return
	}
	// A failed write means that the entry has disconnected.
	_ = send(Frame{
		Attempt: a.ID,
		Broken:  true,
	})
}

// Cancel cancels an attempt for this target, and ignores any other.
func (s identityFilter) Cancel(ctx context.Context, a Attempt) {
	if s.self.accepts(a) {
		s.Handler.Cancel(ctx, a)
	}
}

// Prefill runs the prefill stage of an attempt for this target, and refuses any other.
func (s identityFilter) Prefill(ctx context.Context, a Attempt, body []byte) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if s.self.accepts(a) {
		return s.Handler.Prefill(ctx, a, body)
	}
	return waxwingpick.KVExport{}, s.refusal()
}

// Export exports the KV cache of a moved stream of this target, and refuses any other attempt.
func (s identityFilter) Export(ctx context.Context, a Attempt) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if s.self.accepts(a) {
		return s.Handler.Export(ctx, a)
	}
	return waxwingpick.KVExport{}, s.refusal()
}

// Call runs a call for this target, and refuses any other.
func (s identityFilter) Call(ctx context.Context, a Attempt, body []byte) Result {
	if s.self.accepts(a) {
		return s.Handler.Call(ctx, a, body)
	}
	return Result{
		Attempt: a.ID,
		Status:  fasthttp.StatusOK,
		Refusal: s.refusal(),
	}
}
