package sendgate

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/plan"
)

const (
	// processRetention is how long a process counts after it was last listed or seen. Processes whose entries expire while
	// the service that lists them is unavailable keep sending.
	processRetention = time.Minute
	// maxProcesses bounds the processes that are tracked.
	maxProcesses = 1024
	// suspectRequests is the number of token requests without a response, and suspectTime the time since the first of them, after which a process
	// is suspected to have failed and owns no limits.
	suspectRequests = 2
	suspectTime     = 150 * time.Millisecond
	// suspicionTTL is the time after which a suspected process receives token requests again.
	suspicionTTL = 2 * time.Second
)

// process is another process that may send requests to targets.
type process struct {
	// seenAt is when it was last listed or seen.
	seenAt time.Time
	// unanswered counts the token requests since its last message, and requestedAt is the time of the first of them.
	unanswered  int
	requestedAt time.Time
	// suspectedAt is when it became suspected; zero if it is not.
	suspectedAt time.Time
}

// processes tracks the processes that may own limits.
type processes struct {
	self  waxwingpick.InstanceID
	known map[waxwingpick.InstanceID]*process
	// pending holds the processes with token requests without a response.
	pending waxwingpick.Set[waxwingpick.InstanceID]
	// version is the number of the list of processes that are not suspected; it is never zero.
	version int
}

func newProcesses(self waxwingpick.InstanceID) *processes {
	return &processes{
		self:    self,
		known:   make(map[waxwingpick.InstanceID]*process),
		version: 1,
	}
}

// observe records that a process is listed or was seen.
func (p *processes) observe(now time.Time, id waxwingpick.InstanceID) *process {
	if id == p.self || id == "" {
		return nil
	}
	known, ok := p.known[id]
	if !ok {
		if len(p.known) >= maxProcesses {
			return nil
		}
		known = &process{}
		p.known[id] = known
		p.version++
	}
	known.seenAt = now
	return known
}

// markResponsive records a message that shows that a process responds to token requests.
func (p *processes) markResponsive(now time.Time, id waxwingpick.InstanceID) {
	if known := p.observe(now, id); known != nil {
		p.trust(id)
	}
}

// trust ends the suspicion of a process.
func (p *processes) trust(id waxwingpick.InstanceID) {
	known, ok := p.known[id]
	if !ok {
		return
	}
	if !known.suspectedAt.IsZero() {
		p.version++
	}
	known.unanswered, known.suspectedAt = 0, time.Time{}
	p.pending.Remove(id)
}

// requested records that a token request is sent to a process.
func (p *processes) requested(now time.Time, id waxwingpick.InstanceID) {
	known, ok := p.known[id]
	if !ok {
		return
	}
	if known.unanswered++; known.unanswered == 1 {
		known.requestedAt = now
		p.pending.Add(id)
	}
}

// refresh updates the suspicions.
func (p *processes) refresh(now time.Time) {
	if p.pending.Len() == 0 {
		return
	}
	for _, id := range p.pending.Sorted() {
		known := p.known[id]
		switch {
		case known == nil:
			p.pending.Remove(id)
		case known.suspectedAt.IsZero():
			if known.unanswered >= suspectRequests && now.Sub(known.requestedAt) >= suspectTime {
				known.suspectedAt = now
				p.version++
			}
		case now.Sub(known.suspectedAt) >= suspicionTTL:
			p.trust(id)
		}
	}
}

func (p *processes) expire(now time.Time) {
	for id, known := range p.known {
		if now.Sub(known.seenAt) > processRetention {
			delete(p.known, id)
			p.pending.Remove(id)
			p.version++
		}
	}
}

// ranked returns the processes that are not suspected, in the order in which they own a target's limit.
func (p *processes) ranked(id waxwingpick.TargetID) []waxwingpick.InstanceID {
	ids := []waxwingpick.InstanceID{p.self}
	for other, known := range p.known {
		if known.suspectedAt.IsZero() {
			ids = append(ids, other)
		}
	}
	return plan.Rank("limit/"+string(id), ids)
}
