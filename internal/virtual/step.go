package virtual

import (
	"time"

	"waxwingpick"
)

// rateDecay weighs older steps in the rates that an engine reports.
const rateDecay = 0.99

// step takes waiting work into the batch and computes one step, unless there is nothing to do.
func (e *Engine) step() {
	e.stop = nil
	e.admit()
	if len(e.running) == 0 {
		e.whenIdle()
		return
	}
	decoding := 0
	for _, w := range e.running {
		w.chunk = 0
		if w.prefillLeft == 0 {
			decoding++
		}
	}
	prefill := e.shareChunk(max(0, e.spec.stepTokens()-decoding*e.spec.SequenceTokens))
	seconds := e.spec.StepBase.Seconds() + float64(decoding)*e.spec.StepPerSequence.Seconds()
	seconds += float64(prefill) / e.spec.PrefillTokensPerSecond
	seconds *= e.slow
	e.count(seconds, prefill, decoding)
	e.stop = e.timers.After(time.Duration(seconds*float64(time.Second)), e.finish)
}

// admit takes waiting work into the batch by urgency while slots and memory last.
func (e *Engine) admit() {
	used := e.pieces()
	for len(e.running) < e.spec.Slots && len(e.waiting) > 0 {
		i := mostUrgent(e.waiting)
		w := e.waiting[i]
		if used+w.pieces() > e.spec.Pieces && len(e.running) > 0 {
			return
		}
		used += w.pieces()
		e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
		e.running = append(e.running, w)
		e.useCache(w)
	}
}

func (e *Engine) useCache(w *Work) {
	cached := e.cache.match(e.timers.Now(), w.Prefix) * BlockTokens
	if w.prefillLeft > 0 {
		left := max(1, w.prefillLeft-cached)
		e.saved += w.prefillLeft - left
		w.prefillLeft = left
	}
}

// shareChunk gives the step's prompt tokens to the most urgent prompts and returns how many it gave.
func (e *Engine) shareChunk(budget int) int {
	given := 0
	for given < budget {
		var next *Work
		for _, w := range e.running {
			if w.prefillLeft > w.chunk && (next == nil || w.Urgency < next.Urgency) {
				next = w
			}
		}
		if next == nil {
			break
		}
		n := min(budget-given, next.prefillLeft-next.chunk)
		next.chunk += n
		given += n
	}
	return given
}

// finish hands out the tokens of a step and starts the next one.
func (e *Engine) finish(now time.Time) {
	e.stop = nil
	batch := append([]*Work(nil), e.running...)
	for _, w := range batch {
		if e.gone {
			return
		}
		e.advance(now, w)
	}
	if e.gone || e.stop != nil {
		return
	}
	e.preempt()
	e.step()
}

func (e *Engine) advance(now time.Time, w *Work) {
	if w.prefillLeft == 0 {
		w.produced++
		w.Computed++
		e.token(now, w)
		return
	}
	w.prefillLeft -= w.chunk
	w.Computed += w.chunk
	if w.chunk == 0 || w.prefillLeft > 0 {
		return
	}
	if w.Poison {
		e.Crash()
		return
	}
	e.cache.add(e.timers.Now(), w.Prefix)
	if w.PromptOnly {
		e.end(now, w)
		return
	}
	w.produced++
	e.token(now, w)
}

func (e *Engine) token(now time.Time, w *Work) {
	if w.lastToken.IsZero() {
		w.Listener.FirstToken(now)
	} else {
		w.Listener.Token(now, now.Sub(w.lastToken))
	}
	w.lastToken = now
	if w.produced >= w.OutputTokens {
		e.end(now, w)
	}
}

func (e *Engine) end(now time.Time, w *Work) {
	if without(&e.running, w) {
		w.Listener.Ended(now, EndingWhole)
	}
}

// preempt puts the newest work back while the batch exceeds the memory; its cache has to be computed again.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.pieces() > e.spec.Pieces {
		w := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		w.prefillLeft = w.PromptTokens + w.produced
		e.waiting = append([]*Work{w}, e.waiting...)
	}
}

func (e *Engine) count(seconds float64, prefill, decoding int) {
	if prefill > 0 {
		e.prefilled = rateDecay*e.prefilled + float64(prefill)
		e.prefillTime = rateDecay*e.prefillTime + seconds
	}
	if decoding > 0 {
		e.decoded = rateDecay*e.decoded + float64(decoding)
		e.decodeTime = rateDecay*e.decodeTime + seconds
	}
}

func mostUrgent(works []*Work) int {
	best := 0
	for i, w := range works {
		if w.Urgency < works[best].Urgency {
			best = i
		}
	}
	return best
}

// stepTokens returns the bound on prompt tokens in the present role.
func (s EngineSpec) stepTokens() int {
	if s.Role == waxwingpick.RolePrefill && s.PrefillStepTokens > 0 {
		return s.PrefillStepTokens
	}
	return s.StepTokens
}
