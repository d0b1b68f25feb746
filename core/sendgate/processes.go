package sendgate

import (
	"slices"
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
	// minSharers and sharersPerRequest determine how many processes share a limit. Each of them may hold an unused token,
	// so their number bounds the requests beyond the limit's rate.
	minSharers        = 4
	sharersPerRequest = 0.3
)

// processes tracks the processes that may send requests to targets.
type processes struct {
	self   waxwingpick.InstanceID
	seenAt map[waxwingpick.InstanceID]time.Time
	ids    []waxwingpick.InstanceID
	// version is the number of the list of processes; it is never zero.
	version int
}

func newProcesses(self waxwingpick.InstanceID) *processes {
	return &processes{
		self:    self,
		seenAt:  make(map[waxwingpick.InstanceID]time.Time),
		ids:     []waxwingpick.InstanceID{self},
		version: 1,
	}
}

func (p *processes) observe(now time.Time, id waxwingpick.InstanceID) {
	if id == p.self || id == "" {
		return
	}
	if _, ok := p.seenAt[id]; !ok {
		if len(p.seenAt) >= maxProcesses {
			return
		}
		p.ids = append(p.ids, id)
		p.version++
	}
	p.seenAt[id] = now
}

func (p *processes) expire(now time.Time) {
	for id, at := range p.seenAt {
		if now.Sub(at) > processRetention {
			delete(p.seenAt, id)
			p.ids = slices.DeleteFunc(p.ids, func(other waxwingpick.InstanceID) bool { return other == id })
			p.version++
		}
	}
}

// share returns this process's part of a target's limit, and the number of processes that share it.
func (p *processes) share(id waxwingpick.TargetID, perSecond float64) (rate float64, sharers int) {
	sharers = min(len(p.ids), minSharers+int(sharersPerRequest*perSecond))
	ranked := plan.Rank("limit/"+string(id), p.ids)
	if !slices.Contains(ranked[:sharers], p.self) {
		return 0, sharers
	}
	return perSecond / float64(sharers), sharers
}
