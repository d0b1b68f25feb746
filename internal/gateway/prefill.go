package gateway

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

// releaseTimeout bounds the call that frees KV cache after its request has ended.
const releaseTimeout = time.Second

// prefilledCache is the KV cache of a request's prompt that a prefill engine holds for another engine.
type prefilledCache struct {
	// chosen is the selection for which the prefill stage ran.
	chosen   selection
	kvSource waxwingpick.KVSource
	at       time.Time
	// refused is set if an engine did not run the request from this cache: the engine may have been full, or the cache
	// was removed.
	refused bool
}

// runPrefill runs the prefill stage at one engine for another one.
func (x *exchange) runPrefill(chosen selection, engine waxwingpick.Target) sendResult {
	sentAt := x.process.timers.Now()
	prefilled, err := x.process.options.Targets.Prefill(x.ctx, waxwingpick.Dispatch{
		Inbound:   x.in,
		Target:    engine,
		CopyFrom:  copySource(chosen.prefillStage),
		Remaining: x.remaining(),
		Priority:  x.priority(),
		Workspace: x.workspaceID(),
	})
	now := x.process.timers.Now()
	x.observeStatement(sentAt, engine, prefilled.Statement, err == nil)
	x.service.observeStated(now, engine.ID, prefilled.WorkPercent)
	if err == nil {
		x.prefills++
		x.service.prefilled(now, chosen)
		x.cache = waxwingpick.Some(prefilledCache{
			chosen:   chosen,
			kvSource: prefilled.Source,
			at:       now,
		})
		if x.ctx.Err() == nil {
			x.recordPrefill(engine, prefilled)
			return sendResult{}
		}
		x.releaseCache()
		err = x.ctx.Err()
	} else if !errors.Is(err, waxwingpick.ErrEngineUnreachable) && !errors.Is(err, waxwingpick.ErrEngineRefused) {
		x.prefills++
	}
	// A prefill stage alone does not run the request.
	s := sendResult{
		sentAt:  sentAt,
		err:     err,
		refusal: waxwingpick.NotRun(reasonOf(err), noTargetRetry, "prefill failed"),
	}
	x.recordPrefillFailure(engine, s)
	return s
}

// kvSource returns the KV cache from which the request is to run; none if its engine prefills the prompt itself.
func (x *exchange) kvSource() waxwingpick.Option[waxwingpick.KVSource] {
	if cache, ok := x.cache.Get(); ok {
		return waxwingpick.Some(cache.kvSource)
	}
	return waxwingpick.None[waxwingpick.KVSource]()
}

// chooseDecodeAgain selects another engine to run the request from KV cache after one failed to do so.
func (x *exchange) chooseDecodeAgain(now time.Time, cache prefilledCache) (selection, *waxwingpick.Refusal) {
	p := x.placeDecode(cache.chosen)
	if p.verdict != waxwingpick.VerdictPlaced {
		return p.selection, x.notPlaced(now, p)
	}
	x.recordChoice(now, p.selection)
	return p.selection, nil
}

// updateCache decides after a send whether its KV cache is still usable by another engine.
func (x *exchange) updateCache(s sendResult) {
	cache, ok := x.cache.Get()
	switch {
	case !ok:
	case s.refusal == nil:
		x.cache = waxwingpick.None[prefilledCache]()
	case !x.cacheUsable(cache, s):
		x.releaseCache()
	default:
		cache.refused = cache.refused || !s.targetMissing()
		x.cache = waxwingpick.Some(cache)
	}
}

// cacheUsable reports whether the KV cache is still available after a send failed to run from it: the send did not
// reach its engine, or the engine was full. An engine that cannot fetch the cache reports the same, so after a second
// refusal the prompt is prefilled again.
func (x *exchange) cacheUsable(cache prefilledCache, s sendResult) bool {
	if x.ctx.Err() != nil || x.process.timers.Now().Sub(cache.at) > x.service.kvHandleTTL() {
		return false
	}
	return s.targetMissing() || s.reply.NotRun && !cache.refused
}

// sendsPerAttempt returns how many sends a new attempt needs. If the prompt was prefilled but its KV cache is no longer
// available, the prefill stage may be repeated.
func (x *exchange) sendsPerAttempt() int {
	if _, ok := x.cache.Get(); !ok && x.prefills > 0 {
		return 2
	}
	return 1
}

// releaseCache frees KV cache that no engine will fetch, without delaying the caller.
func (x *exchange) releaseCache() {
	cache, ok := x.cache.Get()
	if !ok {
		return
	}
	x.cache = waxwingpick.None[prefilledCache]()
	p := x.process
	engine := cache.chosen.prefill.OrElse(cache.chosen.target)
	if p.statements.take(p.timers.Now(), engine.ID) != sendgate.AdmissionTaken {
		p.log.WithField("target", engine.ID).Debug("KV cache not released because its engine accepts no requests; it expires there")
		return
	}
	p.loops.Go(func() {
		ctx, cancel := context.WithTimeout(p.lifecycle, releaseTimeout)
		defer cancel()
		if err := p.options.Targets.Release(ctx, cache.kvSource); err != nil {
			p.log.WithField("error", err.Error()).Debug("KV cache not released; it expires at its engine")
		}
	})
}
