package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/legs"
	"waxwingpick/core/plan"
	"waxwingpick/io/sidecar"
)

// movePeriod is the time between two looks for streams that have to move.
const movePeriod = 250 * time.Millisecond

// movers holds the streams that are being forwarded, so that they can be moved elsewhere.
type movers struct {
	mu   sync.Mutex
	byID map[string]*mover
}

// mover is one stream that may be moved while it is forwarded.
type mover struct {
	mu     sync.Mutex
	stream waxwingpick.EventStream
	moved  bool
}

func newMovers() *movers {
	return &movers{
		byID: make(map[string]*mover),
	}
}

func (m *movers) add(id string) *mover {
	m.mu.Lock()
	defer m.mu.Unlock()
	one := &mover{}
	m.byID[id] = one
	return one
}

// remove forgets a stream, unless a newer reader took its place.
func (m *movers) remove(id string, one *mover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byID[id] == one {
		delete(m.byID, id)
	}
}

func (m *movers) find(id string) (*mover, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	one, ok := m.byID[id]
	return one, ok
}

// reads notes the stream that is read now, and reports false where it was moved meanwhile.
func (m *mover) reads(stream waxwingpick.EventStream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stream = stream
	return !m.moved
}

// move makes the reader stop, so that the entry goes on elsewhere.
func (m *mover) move() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moved = true
	if m.stream != nil {
		// The reader notices the closed stream, whatever Close returns.
		_ = m.stream.Close()
	}
}

func (m *mover) wasMoved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moved
}

// moveStreams moves running streams off a target that leaves by a date, a few at a time, shortly before the date.
func (p *Process) moveStreams(now time.Time) {
	for _, id := range p.gate.Moves(now) {
		one, ok := p.movers.find(id)
		if !ok || !p.othersServe() {
			p.gate.Moved(now, id, false)
			continue
		}
		one.move()
	}
}

// othersServe reports whether the plan has another target of the service whose departure is not announced.
func (p *Process) othersServe() bool {
	cfg, _ := p.records.Config()
	leaving := waxwingpick.NewSet[waxwingpick.InstanceID]()
	for _, l := range cfg.Leaving {
		leaving.Add(l.Instance)
	}
	rec, _ := p.records.Plan(p.options.Service)
	return slices.ContainsFunc(rec.Targets, func(t plan.Target) bool {
		return t.ID != p.target && !leaving.Has(t.Instance)
	})
}

// handOver tells the entry to go on elsewhere. The engine's stream is kept until its KV cache was fetched, where that can
// be done before the date, and freed at once where it can't.
func (p *Process) handOver(a sidecar.Attempt, turn int, tokens int, send sidecar.SendFunc) {
	held := p.exportsInTime(a.PromptTokens + tokens)
	p.log.WithFields(logrus.Fields{
		"attempt": a.ID,
		"held":    held,
	}).Info("stream moves off the leaving target")
	// An entry that is gone has nobody to go on for.
	_ = send(sidecar.Frame{
		Attempt: a.ID,
		Moved:   true,
		Held:    held,
		Report:  p.reportPointer(),
	})
	if held {
		p.awaitResume(a.ID, turn, tokens)
		return
	}
	p.cancelStream(a.ID)
	p.gate.Moved(p.timers.Now(), a.ID, true)
	p.release(a.ID, turn, tokens)
}

// exportsInTime reports whether the KV cache of so many tokens can be fetched before the target's date.
func (p *Process) exportsInTime(tokens int) bool {
	by := p.gate.By()
	return !by.IsZero() && p.timers.Now().Add(legs.TransferTime(tokens)).Before(by)
}

// Export exports the KV cache of a stream that moves off this target; it stays until it is cancelled, or is
// freed where it can't be exported.
func (p *Process) Export(ctx context.Context, a sidecar.Attempt) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if p.engine == nil {
		return waxwingpick.KVExport{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target is no engine")
	}
	export, err := p.exportStream(ctx, a)
	if err != nil {
		// The stream is computed again elsewhere, and nobody needs it here.
		p.Cancel(ctx, a)
		return export, waxwingpick.NotRun(waxwingpick.ReasonTargetLost, 0, err.Error())
	}
	// A stream without a reader is kept that long.
	return p.giveOut(ctx, a, export, resumeGrace, func() {})
}

func (p *Process) exportStream(ctx context.Context, a sidecar.Attempt) (waxwingpick.KVExport, error) {
	if a.ByReference && p.transfersDirectly() {
		return p.engine.OfferKV(ctx, a.ID)
	}
	return p.engine.ExportKV(ctx, a.ID)
}
