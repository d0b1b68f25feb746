package placement

import (
	"time"

	"waxwingpick"
)

// engine is what is known of one engine.
type engine struct {
	target  waxwingpick.Target
	cache   *cache
	reading map[*Leg]struct{}
	running int
	// peers is what other processes have at the engine.
	peers map[waxwingpick.InstanceID]peerLoad
	// freed is when the engine last ended reading a prompt, or got one while it read none.
	freed time.Time
}

func newEngine(capacity int) *engine {
	return &engine{
		cache:   newCache(capacity),
		reading: make(map[*Leg]struct{}),
		peers:   make(map[waxwingpick.InstanceID]peerLoad),
	}
}

// load is what all processes, as far as they are known, have at an engine.
type load struct {
	// work is the prompt work that is not read yet, at a pace of 1.
	work    time.Duration
	running int
}

func (e *engine) load(now time.Time) load {
	all := load{
		work:    e.ahead(now),
		running: e.running,
	}
	for _, p := range e.peers {
		age := now.Sub(p.at)
		if age > summaryKept {
			continue
		}
		all.work += max(0, p.work-age)
		all.running += p.running
	}
	return all
}

// ahead is this process's prompt work at the engine. More urgent requests are admitted first, but the prompts of those
// that run are read side by side, so work of every priority counts.
func (e *engine) ahead(now time.Time) time.Duration {
	total := time.Duration(0)
	for leg := range e.reading {
		total += leg.work
	}
	return max(0, total-now.Sub(e.freed))
}

// Leg is one sending of a request to an engine.
type Leg struct {
	engine *engine
	fleet  *Fleet
	work   time.Duration
	begun  time.Time
	alone  bool
	read   bool
	over   bool
}

// Begin notes that a request is sent to an engine, which reads its prompt beyond what it keeps, or nothing of it where
// the KV cache is fetched.
func (f *Fleet) Begin(now time.Time, id waxwingpick.TargetID, d Demand, fetched bool) *Leg {
	p := d.Prompt
	e, ok := f.engines[id]
	if !ok {
		e = newEngine(0)
	}
	keys, tokens := chain(p)
	leg := &Leg{
		engine: e,
		fleet:  f,
		begun:  now,
		alone:  len(e.reading) == 0,
	}
	if !fetched {
		leg.work = readTime(p.Tokens, e.cache.held(keys, tokens))
		if leg.alone {
			e.freed = now
		}
		e.reading[leg] = struct{}{}
	}
	e.cache.use(keys, tokens)
	f.noteRead(id, keys, tokens)
	e.running++
	return leg
}

// Read notes that the engine has read the prompt.
func (l *Leg) Read(now time.Time) {
	if l.read {
		return
	}
	l.read = true
	if _, ok := l.engine.reading[l]; !ok {
		return
	}
	delete(l.engine.reading, l)
	l.engine.freed = now
	if l.alone {
		// Only work that waited for none of ours tells how fast an engine reads.
		l.fleet.paceOf(l.engine.target.Role).observe(l.work, now.Sub(l.begun))
	}
}

// End notes that the engine has no more to do for the request.
func (l *Leg) End(now time.Time) {
	if l.over {
		return
	}
	l.over = true
	l.engine.running--
	if _, ok := l.engine.reading[l]; ok {
		delete(l.engine.reading, l)
		l.engine.freed = now
	}
}
