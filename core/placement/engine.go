package placement

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/ejection"
	"waxwingpick/core/speed"
)

// engine is the local state of one engine.
type engine struct {
	target waxwingpick.Target
	cache  *cache
	memory memory
	// pending holds the stages that wait for the end of their prefill or of their KV transfer.
	pending map[*Stage]struct{}
	health  ejection.Target
	// failures are the recent requests that the engine failed.
	failures ejection.Failures
	// speed is how long work takes on the engine's machine at the moment.
	speed speed.Tracker
	// statedFrom is where the last figure about it came from, and statedLearned when it was received.
	statedFrom    Origin
	statedLearned time.Time
	// lastServed is the start time of the newest request whose wait has ended.
	lastServed time.Time
	running    int
	// peers is the load that other processes of the zone, and other zones, report for the engine.
	peers map[reporter]peerLoad
	// prefillStart is when the engine last finished a prefill, or received one while idle.
	prefillStart time.Time
}

func newEngine(capacity int) *engine {
	return &engine{
		cache:   newCache(capacity),
		memory:  newMemory(),
		pending: make(map[*Stage]struct{}),
		peers:   make(map[reporter]peerLoad),
	}
}

// load is the known load of an engine over all processes.
type load struct {
	// work is the time of the prompt computation left, at a pace factor of 1.
	work    time.Duration
	running int
	// overdue is by how much the longest waiting request exceeds its predicted wait.
	overdue time.Duration
	// occupied is the number of tokens in memory by the priority of their requests.
	occupied [priorities]int
}

// upTo returns the tokens in memory of requests with at least the given priority.
func (l load) upTo(priority int) int {
	total := 0
	for _, tokens := range l.occupied[:rank(priority)+1] {
		total += tokens
	}
	return total
}

func (e *engine) load(now time.Time) load {
	return e.sumLoad(now, func(reporter) bool { return true })
}

// zoneLoad is the load from the processes of the local availability zone.
func (e *engine) zoneLoad(now time.Time) load {
	return e.sumLoad(now, func(t reporter) bool { return t.zone == "" })
}

// ages returns the ages of the load reports for the engine.
func (e *engine) ages(now time.Time) []time.Duration {
	var ages []time.Duration
	for _, p := range e.peers {
		if age := now.Sub(p.at); age <= summaryTTL {
			ages = append(ages, age)
		}
	}
	return ages
}

// sumLoad adds the reports of the selected peers to the local load.
func (e *engine) sumLoad(now time.Time, selected func(t reporter) bool) load {
	all := load{
		work:     e.pendingWork(now),
		running:  e.running,
		overdue:  e.overdue(now),
		occupied: e.memory.used,
	}
	for t, p := range e.peers {
		age := now.Sub(p.at)
		if age > summaryTTL || !selected(t) {
			continue
		}
		all.work += max(0, p.work-age)
		all.running += p.running
		all.overdue = max(all.overdue, p.overdue)
		for rank, tokens := range p.occupied {
			all.occupied[rank] += tokens
		}
	}
	return all
}

// pendingWork is the time of this process's prompt computation left at the engine. Requests with a higher priority are admitted
// first, but the prompts of running requests are computed concurrently, so work of every priority counts.
func (e *engine) pendingWork(now time.Time) time.Duration {
	total := time.Duration(0)
	for stage := range e.pending {
		total += stage.work
	}
	return max(0, total-now.Sub(e.prefillStart))
}

// prefilling reports whether a request of this process waits for its prefill.
func (e *engine) prefilling() bool {
	for stage := range e.pending {
		if stage.work > 0 {
			return true
		}
	}
	return false
}

// overdue returns by how much the longest waiting request of this process exceeds its predicted wait. The engine then
// is unresponsive, or busy with requests that this process does not know of. Requests that were sent before one that
// has already been served don't count, since single responses get lost.
func (e *engine) overdue(now time.Time) time.Duration {
	maxOverdue := time.Duration(0)
	for stage := range e.pending {
		if !stage.startedAt.Before(e.lastServed) {
			maxOverdue = max(maxOverdue, now.Sub(stage.startedAt)-stage.predicted)
		}
	}
	return max(0, maxOverdue-overdueSlack)
}

// overdueSlack is the normal prediction error.
const overdueSlack = 100 * time.Millisecond

// Stage is one stage of a request on an engine.
type Stage struct {
	engine *engine
	fleet  *Fleet
	parts  Parts
	from   waxwingpick.Option[waxwingpick.Target]
	work   time.Duration
	// predicted is the predicted wait for the first event, or for the end of the prefill.
	predicted time.Duration
	startedAt time.Time
	// lastEvent is when the last event of its stream was received.
	lastEvent time.Time
	alone     bool
	prefilled bool
	// prefilledAt is when the engine had the prompt's KV cache.
	prefilledAt time.Time
	ended       bool
}

// Begin records that a request is sent to an engine. The engine computes what it neither caches nor copies from another
// engine. If fetched, it computes nothing and fetches the KV cache instead.
func (f *Fleet) Begin(now time.Time, id waxwingpick.TargetID, d Demand, fetched bool) *Stage {
	e, ok := f.engines[id]
	if !ok {
		e = newEngine(0)
	}
	e.health.Begin(now)
	before := f.candidate(now, e, d)
	stage := &Stage{
		engine:    e,
		fleet:     f,
		parts:     d.Parts,
		predicted: before.wait + before.memoryWait,
		startedAt: now,
		alone:     !e.prefilling(),
	}
	if fetched {
		stage.predicted += splitCost
	} else {
		stage.predicted += before.prefill
		stage.work = prefillTime(d.Parts.prompt, before.held)
		if c, ok := f.copyFor(now, e, d.Parts, before.held).Get(); ok {
			stage.from = waxwingpick.Some(c.from)
			stage.work = c.took + prefillTime(d.Parts.prompt, c.held)
		}
		if stage.alone {
			e.prefillStart = now
		}
	}
	e.pending[stage] = struct{}{}
	e.cache.use(now, d.Parts)
	e.memory.take(d.Parts, d.Priority)
	f.recordRead(id, d.Parts)
	f.demand.add(now, stage.work)
	e.running++
	return stage
}

// CopySource returns the engine to copy the missing prefix of the prompt from; none if the engine computes it.
func (l *Stage) CopySource() waxwingpick.Option[waxwingpick.Target] {
	return l.from
}

// PrefillDone records that the engine has computed the prompt, or fetched its KV cache.
func (l *Stage) PrefillDone(now time.Time) ejection.Change {
	if l.prefilled {
		return ejection.ChangeNone
	}
	l.prefilled = true
	l.prefilledAt = now
	if l.startedAt.After(l.engine.lastServed) {
		l.engine.lastServed = l.startedAt
	}
	if l.finishWait(now) && l.alone && l.work > 0 {
		// The engine's speed can only be measured on a prefill that did not wait for another one of this process.
		l.fleet.paceOf(l.engine.target.Role).observe(l.work, now.Sub(l.startedAt))
	}
	return l.engine.health.Responded()
}

// finishWait removes the stage from pending and reports whether it was there.
func (l *Stage) finishWait(now time.Time) bool {
	if _, ok := l.engine.pending[l]; !ok {
		return false
	}
	delete(l.engine.pending, l)
	if l.work > 0 {
		l.engine.prefillStart = now
	}
	return true
}

// Unreachable records that the engine did not accept a connection.
func (l *Stage) Unreachable(now time.Time) ejection.Change {
	return l.engine.health.Unreachable(now)
}

// Lost records that the engine accepted the request but did not respond.
func (l *Stage) Lost(now time.Time) ejection.Change {
	return l.engine.health.Lost(now)
}

// Responded records what became of the request at the engine.
func (l *Stage) Responded(now time.Time, r ejection.Response) {
	l.engine.failures.Observe(now, r)
}

// End records that the engine has no more work for the request. Further calls have no effect.
func (l *Stage) End(now time.Time) {
	if l.ended {
		return
	}
	l.ended = true
	l.finishWait(now)
	l.engine.running--
	l.engine.memory.drop(l.parts)
	l.fleet.recordResidence(l, now)
	l.fleet.recordGeneration(l, now)
}
