package sidecar

import (
	"context"
	"time"
)

// Drain admits no more work for an engine order, and reports whether none is left.
//
// Streams that a former sidecar process started may still run in the engine, so
// the engine itself has to report that it is idle, with a report that is newer
// than the last request that this process knows of.
func (p *Process) Drain() bool {
	p.ordered.Store(true)
	p.updateAdmission()
	if p.gate.Running() > 0 || p.streams.len() > 0 {
		p.clearIdle()
		return false
	}
	return p.engineIdle(p.idleSince())
}

// Undrain admits work again after an engine order.
func (p *Process) Undrain() {
	p.ordered.Store(false)
	p.clearIdle()
	p.updateAdmission()
}

// updateAdmission refuses work while an engine order waits or the target leaves.
func (p *Process) updateAdmission() {
	p.admitter.setDraining(p.ordered.Load() || !p.gate.Ready())
}

// idleSince returns when this process first saw that it has no work, since the last that it had.
func (p *Process) idleSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle.IsZero() {
		p.idle = p.timers.Now()
	}
	return p.idle
}

func (p *Process) clearIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = time.Time{}
}

// engineIdle reports whether the engine says, of a time after since, that it runs nothing.
func (p *Process) engineIdle(since time.Time) bool {
	ctx, cancel := context.WithTimeout(p.lifecycle, stateTimeout)
	defer cancel()
	load, err := p.engine.Load(ctx)
	if err != nil {
		return false
	}
	reported := p.timers.Now().Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	return load.Running == 0 && load.Waiting == 0 && reported.After(since)
}
