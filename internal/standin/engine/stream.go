package engine

import "time"

type streamPhase uint8

const (
	phaseWaiting streamPhase = iota
	phaseRunning
	phaseFinished
	phaseCut
	phaseCancelled
)

// stream is the generation of a response. The lock of the engine guards it.
type stream struct {
	id        string
	chat      bool
	model     string
	prompt    string
	promptLen int
	delivered int
	tokens    []string
	urgency   int
	serial    int64
	kvBlocks  int
	cached    int
	crashes   bool
	phase     streamPhase
	emitted   int
	nextToken time.Time
	stopTimer func()
	// changed is closed and replaced whenever emitted or phase changes.
	changed chan struct{}
}

func (s *stream) ended() bool {
	return s.phase >= phaseFinished
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) end(phase streamPhase) {
	if s.ended() {
		return
	}
	s.phase = phase
	s.cancelTimer()
	s.notify()
}

func (s *stream) cancelTimer() {
	if s.stopTimer != nil {
		s.stopTimer()
		s.stopTimer = nil
	}
}

// submit queues a stream and starts waiting streams that fit.
func (e *Engine) submit(s *stream) {
	e.serial++
	s.serial = e.serial
	s.changed = make(chan struct{})
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	e.admit(e.now())
}

// admit starts waiting streams in the order of urgency and then arrival, as long as the next one fits.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.maxRunning {
		at := e.nextWaiting()
		s := e.waiting[at]
		if e.usedBlocks+s.kvBlocks > e.cfg.kvBlocks {
			break
		}
		e.waiting = append(e.waiting[:at], e.waiting[at+1:]...)
		e.start(s, now)
	}
	e.sampleLoad(now)
}

func (e *Engine) nextWaiting() int {
	best := 0
	for i, s := range e.waiting {
		b := e.waiting[best]
		if s.urgency < b.urgency || s.urgency == b.urgency && s.serial < b.serial {
			best = i
		}
	}
	return best
}

func (e *Engine) start(s *stream, now time.Time) {
	s.phase = phaseRunning
	e.usedBlocks += s.kvBlocks
	e.running = append(e.running, s)
	e.recordRun(s.id)
	held := max(s.cached, e.cache.cachedTokens(s.prompt))
	compute := max(0, s.promptLen-held)
	e.record.PrefillTokens += int64(compute)
	e.cache.add(s.prompt, now)
	prefill := time.Duration(float64(compute) * float64(e.cfg.prefillToken) * e.faults.slowdown())
	s.nextToken = now.Add(prefill + e.tokenTime())
	e.schedule(s, now)
}

func (e *Engine) schedule(s *stream, now time.Time) {
	s.stopTimer = e.timers.After(max(0, s.nextToken.Sub(now)), func(time.Time) {
		e.step(s)
	})
}

// step emits the tokens that are due.
func (e *Engine) step(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.phase != phaseRunning {
		return
	}
	s.cancelTimer()
	if s.crashes {
		e.record.CrashedBy = append(e.record.CrashedBy, s.id)
		e.crash()
		return
	}
	now := e.now()
	perToken := e.tokenTime()
	for s.emitted < len(s.tokens) && !s.nextToken.After(now) {
		s.emitted++
		e.record.Tokens++
		s.nextToken = s.nextToken.Add(perToken)
	}
	if s.emitted == len(s.tokens) {
		e.finish(s, phaseFinished, now)
		return
	}
	s.notify()
	e.schedule(s, now)
}

// finish ends a stream, frees its memory and keeps its events for resumption.
func (e *Engine) finish(s *stream, phase streamPhase, now time.Time) {
	if s.ended() {
		return
	}
	if s.phase == phaseRunning {
		e.usedBlocks -= s.kvBlocks
		e.running = removeStream(e.running, s)
	} else {
		e.waiting = removeStream(e.waiting, s)
	}
	s.end(phase)
	delete(e.offers, s.id)
	e.ended = append(e.ended, s.id)
	for len(e.ended) > e.cfg.retainedStreams {
		delete(e.streams, e.ended[0])
		e.ended = e.ended[1:]
	}
	e.admit(now)
}

func (e *Engine) tokenTime() time.Duration {
	batch := 1 + e.cfg.batchSlowdown*float64(max(0, len(e.running)-1))
	return time.Duration(float64(e.cfg.decodeToken) * batch * e.faults.slowdown())
}

func removeStream(list []*stream, s *stream) []*stream {
	for i := range list {
		if list[i] == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
