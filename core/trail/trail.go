package trail

import (
	"sync"
	"time"

	"waxwingpick"
)

// maxDecisions is the maximum number of decisions kept of one request. It is twice the number for four attempts with a
// choice, an end, a resume and a retry each.
const maxDecisions = 32

// Log creates the trails of one process's requests. It is safe for concurrent use.
type Log struct {
	out      waxwingpick.DecisionLog
	instance waxwingpick.InstanceID
	sampler  sampler
}

// New returns a log of an instance that writes ended trails to out. If out is nil, no decisions are kept.
func New(out waxwingpick.DecisionLog, instance waxwingpick.InstanceID) *Log {
	return &Log{
		out:      out,
		instance: instance,
	}
}

// Begin returns the trail of a new request.
func (l *Log) Begin(id waxwingpick.RequestID) *Trail {
	return &Trail{
		log: l,
		id:  id,
	}
}

// Trail collects the decisions on one request. It is safe for concurrent use.
type Trail struct {
	log *Log
	id  waxwingpick.RequestID

	mu      sync.Mutex
	list    []waxwingpick.Decision
	omitted int
	notable bool
	ended   bool
}

// Request returns the request's ID.
func (t *Trail) Request() waxwingpick.RequestID {
	return t.id
}

// Add adds a routine decision.
func (t *Trail) Add(d waxwingpick.Decision) {
	t.add(d, false)
}

// AddNotable adds a decision because of which the trail is kept: a refusal, a retry, a resume or a failure.
func (t *Trail) AddNotable(d waxwingpick.Decision) {
	t.add(d, true)
}

func (t *Trail) add(d waxwingpick.Decision, notable bool) {
	if t.log.out == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notable = t.notable || notable
	switch {
	case t.ended:
		// A late decision, for example on a connection that outlives its request, is written as a separate record.
		t.write(waxwingpick.LogClassKept, []waxwingpick.Decision{d})
	case len(t.list) == maxDecisions:
		t.omitted++
	default:
		t.list = append(t.list, d)
	}
}

// End writes the trail if it has a notable decision or the request is sampled.
func (t *Trail) End(now time.Time) {
	if t.log.out == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	list := t.list
	t.list = nil
	switch {
	case t.notable:
		t.write(waxwingpick.LogClassKept, list)
	case t.log.sampler.keep(now, t.id):
		t.write(waxwingpick.LogClassRoutine, list)
	}
}

func (t *Trail) write(lane waxwingpick.LogClass, list []waxwingpick.Decision) {
	t.log.out.Write(waxwingpick.Decisions{
		LogClass: lane,
		Instance: t.log.instance,
		Request:  t.id,
		List:     list,
		Omitted:  t.omitted,
	})
}
