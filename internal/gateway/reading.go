package gateway

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
)

// releaseTime bounds the freeing of KV cache after its request has ended.
const releaseTime = time.Second

// reading is KV cache of a request's prompt that an engine keeps for another one.
type reading struct {
	// chosen is the choice for which the prompt was read.
	chosen pick
	source waxwingpick.KVSource
	at     time.Time
	// refused says that an engine did not run the request from it: that one may have been full, or the cache is gone.
	refused bool
}

// read has the prompt read at one engine for another one.
func (x *exchange) read(chosen pick, reader waxwingpick.Target) sent {
	kept, err := x.process.options.Targets.Prefill(x.ctx, waxwingpick.Dispatch{
		Inbound:   x.in,
		Target:    reader,
		CopyFrom:  copyFrom(chosen.prefillLeg),
		Remaining: x.remaining(),
		Priority:  x.route.Priority,
	})
	now := x.process.timers.Now()
	if err == nil {
		x.readings++
		x.service.prefilled(now, chosen)
		x.kept = waxwingpick.Some(reading{
			chosen: chosen,
			source: kept.Source,
			at:     now,
		})
		if x.ctx.Err() == nil {
			x.prefilled(reader)
			return sent{}
		}
		x.release()
		err = x.ctx.Err()
	} else if !errors.Is(err, waxwingpick.ErrEngineUnreachable) && !errors.Is(err, waxwingpick.ErrEngineRefused) {
		x.readings++
	}
	// Reading a prompt is not running its request.
	s := sent{
		err:     err,
		refusal: waxwingpick.NotRun(reasonOf(err), noTargetRetry, "prompt was not read"),
	}
	x.prefillFailed(reader, s)
	return s
}

// source returns the KV cache from which the request is to run; none where its engine reads the prompt.
func (x *exchange) source() waxwingpick.Option[waxwingpick.KVSource] {
	if kept, ok := x.kept.Get(); ok {
		return waxwingpick.Some(kept.source)
	}
	return waxwingpick.None[waxwingpick.KVSource]()
}

// chooseAgain picks the engine that is to run the request from the KV cache which another one failed to run it from.
func (x *exchange) chooseAgain(now time.Time, kept reading) (pick, *waxwingpick.Refusal) {
	chosen, ok := x.service.chooseRun(now, x.demand(), kept.chosen)
	if !ok {
		return chosen, x.noTarget(now)
	}
	x.chosen(now, chosen)
	return chosen, nil
}

// settle decides after a sending whether its KV cache is still good for another engine.
func (x *exchange) settle(s sent) {
	kept, ok := x.kept.Get()
	switch {
	case !ok:
	case s.refusal == nil:
		x.kept = waxwingpick.None[reading]()
	case !x.keeps(kept, s):
		x.release()
	default:
		kept.refused = kept.refused || !s.absent()
		x.kept = waxwingpick.Some(kept)
	}
}

// keeps reports whether the KV cache that a sending failed to run from is still there: nothing reached its engine, or that
// one was full. An engine that can't fetch the cache says the same, so after a second refusal the prompt is read again.
func (x *exchange) keeps(kept reading, s sent) bool {
	if x.ctx.Err() != nil || x.process.timers.Now().Sub(kept.at) > x.service.handleLife() {
		return false
	}
	return s.absent() || s.reply.NotRun && !kept.refused
}

// sendings returns how many sendings a new attempt brings: where the prompt was read before, and its KV cache is gone, it
// may be read once more.
func (x *exchange) sendings() int {
	if _, ok := x.kept.Get(); !ok && x.readings > 0 {
		return 2
	}
	return 1
}

// release frees the KV cache that nobody will fetch, without keeping the caller waiting.
func (x *exchange) release() {
	kept, ok := x.kept.Get()
	if !ok {
		return
	}
	x.kept = waxwingpick.None[reading]()
	p := x.process
	p.loops.Go(func() {
		ctx, cancel := context.WithTimeout(p.lifecycle, releaseTime)
		defer cancel()
		if err := p.options.Targets.Release(ctx, kept.source); err != nil {
			p.log.WithField("error", err.Error()).Debug("KV cache not released: its engine drops it by itself")
		}
	})
}
