package placement

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/ejection"
)

// engine is what is known of one engine.
type engine struct {
	target waxwingpick.Target
	cache  *cache
	memory memory
	// pending are the legs that wait for the end of their reading, or of their transfer.
	pending map[*Leg]struct{}
	answers ejection.Target
	// served is when the newest of the requests began whose wait has ended.
	served  time.Time
	running int
	// peers is what other processes of the zone, and other zones, have at the engine.
	peers map[teller]peerLoad
	// freed is when the engine last ended reading a prompt, or got one while it read none.
	freed time.Time
}

func newEngine(capacity int) *engine {
	return &engine{
		cache:   newCache(capacity),
		memory:  newMemory(),
		pending: make(map[*Leg]struct{}),
		peers:   make(map[teller]peerLoad),
	}
}

// load is what all processes, as far as they are known, have at an engine.
type load struct {
	// work is the prompt work that is not read yet, at a pace of 1.
	work    time.Duration
	running int
	// overdue is how much longer than predicted the request waits already that waits longest.
	overdue time.Duration
	// occupied are the tokens in memory by the priority of their requests.
	occupied [priorities]int
}

// upTo returns the tokens in memory of requests that are at least as urgent as a priority.
func (l load) upTo(priority int) int {
	total := 0
	for _, tokens := range l.occupied[:rank(priority)+1] {
		total += tokens
	}
	return total
}

func (e *engine) load(now time.Time) load {
	return e.loadOf(now, func(teller) bool { return true })
}

// nearLoad is the load of the processes of the own availability zone.
func (e *engine) nearLoad(now time.Time) load {
	return e.loadOf(now, func(t teller) bool { return t.zone == "" })
}

// ages returns how old what was told of the engine is.
func (e *engine) ages(now time.Time) []time.Duration {
	var ages []time.Duration
	for _, p := range e.peers {
		if age := now.Sub(p.at); age <= summaryKept {
			ages = append(ages, age)
		}
	}
	return ages
}

// loadOf is the own load and that of some who told theirs.
func (e *engine) loadOf(now time.Time, some func(t teller) bool) load {
	all := load{
		work:     e.ahead(now),
		running:  e.running,
		overdue:  e.overdue(now),
		occupied: e.memory.taken,
	}
	for t, p := range e.peers {
		age := now.Sub(p.at)
		if age > summaryKept || !some(t) {
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

// ahead is this process's prompt work at the engine. More urgent requests are admitted first, but the prompts of those
// that run are read side by side, so work of every priority counts.
func (e *engine) ahead(now time.Time) time.Duration {
	total := time.Duration(0)
	for leg := range e.pending {
		total += leg.work
	}
	return max(0, total-now.Sub(e.freed))
}

// reads reports whether a request of this process waits for the reading of its prompt.
func (e *engine) reads() bool {
	for leg := range e.pending {
		if leg.work > 0 {
			return true
		}
	}
	return false
}

// overdue returns how much longer than predicted this process's request waits that waits longest: the engine is silent, or
// busy with what this process has not heard of. Requests that later ones have overtaken don't count, since the answers of
// single ones are lost.
func (e *engine) overdue(now time.Time) time.Duration {
	most := time.Duration(0)
	for leg := range e.pending {
		if !leg.begun.Before(e.served) {
			most = max(most, now.Sub(leg.begun)-leg.predicted)
		}
	}
	return max(0, most-overdueSlack)
}

// overdueSlack is how far predictions are off without a reason.
const overdueSlack = 100 * time.Millisecond

// Leg is one sending of a request to an engine.
type Leg struct {
	engine *engine
	fleet  *Fleet
	parts  Parts
	from   waxwingpick.Option[waxwingpick.Target]
	work   time.Duration
	// predicted is the wait for the first event, or for the end of the reading.
	predicted time.Duration
	begun     time.Time
	alone     bool
	read      bool
	over      bool
}

// Begin notes that a request is sent to an engine, which reads its prompt beyond what it keeps or copies from another
// engine, or nothing of it where the KV cache is fetched.
func (f *Fleet) Begin(now time.Time, id waxwingpick.TargetID, d Demand, fetched bool) *Leg {
	e, ok := f.engines[id]
	if !ok {
		e = newEngine(0)
	}
	e.answers.Begin(now)
	before := f.option(now, e, d)
	leg := &Leg{
		engine:    e,
		fleet:     f,
		parts:     d.Parts,
		predicted: before.wait + before.room,
		begun:     now,
		alone:     !e.reads(),
	}
	if fetched {
		leg.predicted += splitCost
	} else {
		leg.predicted += before.read
		leg.work = readTime(d.Parts.prompt, before.held)
		if c, ok := f.copyFor(now, e, d.Parts, before.held).Get(); ok {
			leg.from = waxwingpick.Some(c.from)
			leg.work = c.took + readTime(d.Parts.prompt, c.held)
		}
		if leg.alone {
			e.freed = now
		}
	}
	e.pending[leg] = struct{}{}
	e.cache.use(now, d.Parts)
	e.memory.take(d.Parts, d.Priority)
	f.noteRead(id, d.Parts)
	e.running++
	return leg
}

// From returns the engine from which the leg's engine is to copy what it lacks of the prompt; none where it reads all of it.
func (l *Leg) From() waxwingpick.Option[waxwingpick.Target] {
	return l.from
}

// Read notes that the engine has read the prompt, or fetched what was read of it.
func (l *Leg) Read(now time.Time) ejection.Change {
	if l.read {
		return ejection.ChangeNone
	}
	l.read = true
	if l.begun.After(l.engine.served) {
		l.engine.served = l.begun
	}
	if l.done(now) && l.alone && l.work > 0 {
		// Only work that waited for none of ours tells how fast an engine reads.
		l.fleet.paceOf(l.engine.target.Role).observe(l.work, now.Sub(l.begun))
	}
	return l.engine.answers.Answered()
}

// done ends the wait for the first event, and reports whether it had not ended before.
func (l *Leg) done(now time.Time) bool {
	if _, ok := l.engine.pending[l]; !ok {
		return false
	}
	delete(l.engine.pending, l)
	if l.work > 0 {
		l.engine.freed = now
	}
	return true
}

// Unreachable notes that the engine took no connection.
func (l *Leg) Unreachable(now time.Time) ejection.Change {
	return l.engine.answers.Unreachable(now)
}

// Lost notes that the engine took the request and gave no answer.
func (l *Leg) Lost(now time.Time) ejection.Change {
	return l.engine.answers.Lost(now)
}

// End notes that the engine has no more to do for the request.
func (l *Leg) End(now time.Time) {
	if l.over {
		return
	}
	l.over = true
	l.done(now)
	l.engine.running--
	l.engine.memory.drop(l.parts)
	l.fleet.resided(l, now)
}
