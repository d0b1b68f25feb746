package limitfleet

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

func (f *Fleet) receivers(p *process) []*process {
	var others []*process
	for _, other := range f.processes {
		if other != p {
			others = append(others, other)
		}
	}
	if len(others) < smallFleet {
		return others
	}
	for i := range fanOut {
		j := i + f.rand.IntN(len(others)-i)
		others[i], others[j] = others[j], others[i]
	}
	return others[:fanOut]
}

// send delivers a message unless it is lost.
func (f *Fleet) send(from, to *process, bytes int, deliver func()) {
	from.bytes += bytes
	if f.rand.Float64() < f.faults.Loss || f.now.Before(from.cutUntil) || f.now.Before(to.cutUntil) {
		return
	}
	delay := messageTime
	if f.faults.MaxDelay > 0 {
		delay += time.Duration(f.rand.IntN(int(f.faults.MaxDelay)))
	}
	started := to.started
	f.events = append(f.events, event{
		at: f.now.Add(delay),
		do: func() {
			if to.running(f.now) && to.started.Equal(started) && !f.unaware {
				to.bytes += bytes
				deliver()
			}
		},
	})
}

func (f *Fleet) sendReports(from, to *process, reports []sendgate.Report) {
	f.send(from, to, headerBytes+len(reports)*reportBytes, func() {
		to.gate.MarkResponsive(f.now, from.id)
		for _, r := range reports {
			if _, limited := r.Limit.Get(); limited {
				f.learn(to, r.Target)
			}
			to.gate.Apply(f.now, r)
		}
	})
}

// sendTokenRequest sends a token request and calls done once, after its response or its time-out.
func (f *Fleet) sendTokenRequest(p *process, a sendgate.TokenRequest, done func()) {
	finished := false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	to := f.process(a.To)
	f.send(p, to, headerBytes+reportBytes, func() {
		response := to.gate.HandleRequest(f.now, p.id, a)
		f.send(to, p, headerBytes+reportBytes, func() {
			p.gate.HandleResponse(f.now, to.id, response)
			finish()
		})
	})
	started := p.started
	f.events = append(f.events, event{
		at: f.now.Add(tokenTimeout),
		do: func() {
			if finished || !p.running(f.now) || !p.started.Equal(started) {
				finished = true
				return
			}
			p.gate.RequestTimedOut(f.now, a)
			finish()
		},
	})
}

// learn records that a process knows the limit of a target.
func (f *Fleet) learn(p *process, id waxwingpick.TargetID) {
	if _, ok := p.learnedAt[id]; !ok {
		p.learnedAt[id] = f.now
	}
}

func (f *Fleet) process(id waxwingpick.InstanceID) *process {
	for _, p := range f.processes {
		if p.id == id {
			return p
		}
	}
	panic("token request to an unknown process " + id)
}
