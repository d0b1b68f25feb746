package virtual

import (
	"time"

	"waxwingpick"
)

// rateDecay is the factor by which the weight of a step decreases with each later step in the reported rates.
const rateDecay = 0.99

// step admits waiting work to the batch and starts a step, unless the batch is empty.
func (e *Engine) step() {
	e.cancelStep = nil
	e.admit()
	if len(e.running) == 0 {
		e.notifyIdle()
		return
	}
	decoding := 0
	for _, w := range e.running {
		w.chunk = 0
		if w.prefillRemaining == 0 {
			decoding++
		}
	}
	prefill := e.assignPrefill(max(0, e.spec.maxStepTokens()-decoding*e.spec.SequenceTokens))
	seconds := e.spec.StepBase.Seconds() + float64(decoding)*e.spec.StepPerSequence.Seconds()
	seconds += float64(prefill) / e.spec.PrefillTokensPerSecond
	seconds *= e.slowdown
	e.recordRates(seconds, prefill, decoding)
	e.cancelStep = e.timers.After(time.Duration(seconds*float64(time.Second)), e.finishStep)
}

// admit moves waiting work into the batch in order of urgency, as long as slots and memory are free.
func (e *Engine) admit() {
	used := e.kvBlocks()
	for len(e.running) < e.spec.Slots && len(e.waiting) > 0 {
		i := mostUrgent(e.waiting)
		w := e.waiting[i]
		if used+w.kvBlocks() > e.spec.KVBlocks && len(e.running) > 0 {
			return
		}
		used += w.kvBlocks()
		e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
		e.running = append(e.running, w)
		e.useCache(w)
	}
}

func (e *Engine) useCache(w *Work) {
	cached := e.cache.match(e.timers.Now(), w.Prefix) * BlockTokens
	if w.prefillRemaining > 0 {
		remaining := max(1, w.prefillRemaining-cached)
		e.cachedTokens += w.prefillRemaining - remaining
		w.prefillRemaining = remaining
	}
}

// assignPrefill distributes the prompt tokens of the step to the most urgent prompts and returns how many it
// assigned.
func (e *Engine) assignPrefill(budget int) int {
	assigned := 0
	for assigned < budget {
		var next *Work
		for _, w := range e.running {
			if w.prefillRemaining > w.chunk && (next == nil || w.Urgency < next.Urgency) {
				next = w
			}
		}
		if next == nil {
			break
		}
		n := min(budget-assigned, next.prefillRemaining-next.chunk)
		next.chunk += n
		assigned += n
	}
	return assigned
}

// finishStep emits the tokens of a step and starts the next one.
func (e *Engine) finishStep(now time.Time) {
	e.cancelStep = nil
	batch := append([]*Work(nil), e.running...)
	for _, w := range batch {
		if e.unavailable {
			return
		}
		e.advance(now, w)
	}
	if e.unavailable || e.cancelStep != nil {
		return
	}
	e.preempt()
	e.step()
}

func (e *Engine) advance(now time.Time, w *Work) {
	if w.prefillRemaining == 0 {
		w.produced++
		w.Computed++
		e.emitToken(now, w)
		return
	}
	w.prefillRemaining -= w.chunk
	w.Computed += w.chunk
	if w.chunk == 0 || w.prefillRemaining > 0 {
		return
	}
	if w.Poison {
		e.Crash()
		return
	}
	e.cache.add(e.timers.Now(), w.Prefix)
	if w.PromptOnly {
		e.complete(now, w)
		return
	}
	w.produced++
	e.emitToken(now, w)
}

func (e *Engine) emitToken(now time.Time, w *Work) {
	if w.lastToken.IsZero() {
		w.Listener.FirstToken(now)
	} else {
		w.Listener.Token(now, now.Sub(w.lastToken))
	}
	w.lastToken = now
	if w.produced >= w.OutputTokens {
		e.complete(now, w)
	}
}

func (e *Engine) complete(now time.Time, w *Work) {
	if removeWork(&e.running, w) {
		w.Listener.Ended(now, EndingComplete)
	}
}

// preempt returns the newest work to the queue while the batch exceeds the memory. Its KV cache has to be computed
// again.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.kvBlocks() > e.spec.KVBlocks {
		w := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		w.prefillRemaining = w.PromptTokens + w.produced
		e.waiting = append([]*Work{w}, e.waiting...)
	}
}

func (e *Engine) recordRates(seconds float64, prefill, decoding int) {
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

// maxStepTokens returns the maximum of prompt tokens in a step in the current role.
func (s EngineSpec) maxStepTokens() int {
	if s.Role == waxwingpick.RolePrefill && s.PrefillStepTokens > 0 {
		return s.PrefillStepTokens
	}
	return s.StepTokens
}
