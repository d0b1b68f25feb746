package sidecar

import (
	"context"
	"time"
)

// Drain stops admitting work so that an engine order can run, and reports whether the engine is idle.
//
// Streams started by an earlier sidecar process may still run in the engine. Therefore the engine itself must report that
// it is idle, in a report that is newer than the end of this process's last request.
func (p *Process) Drain() bool {
	p.drainRequested.Store(true)
	p.updateAdmission()
	if p.gate.Running() > 0 || p.streams.len() > 0 {
		p.clearIdle()
		return false
	}
	return p.engineIdle(p.idleSince())
}

// Undrain admits work again after an engine order.
func (p *Process) Undrain() {
	p.drainRequested.Store(false)
	p.clearIdle()
	p.updateAdmission()
}

// updateAdmission refuses work while an engine order is waiting or the target is leaving.
func (p *Process) updateAdmission() {
	p.admitter.setDraining(p.drainRequested.Load() || !p.gate.Ready())
}

// idleSince returns when this process first observed that it has no more work.
func (p *Process) idleSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleAt.IsZero() {
		p.idleAt = p.timers.Now()
	}
	return p.idleAt
}

func (p *Process) clearIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleAt = time.Time{}
}

// engineIdle reports whether the engine was idle at some time after since.
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
