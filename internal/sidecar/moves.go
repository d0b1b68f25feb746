package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/core/stages"
	"waxwingpick/io/sidecar"
)

// movePollPeriod is the time between two checks for streams that are due to move.
const movePollPeriod = 250 * time.Millisecond

// activeStreams holds the streams that are being forwarded, so that they can be moved to other targets.
type activeStreams struct {
	mu   sync.Mutex
	byID map[string]*activeStream
}

// activeStream is a stream that is being forwarded and may be moved.
type activeStream struct {
	mu     sync.Mutex
	stream waxwingpick.EventStream
	moved  bool
}

func newActiveStreams() *activeStreams {
	return &activeStreams{
		byID: make(map[string]*activeStream),
	}
}

func (m *activeStreams) add(id string) *activeStream {
	m.mu.Lock()
	defer m.mu.Unlock()
	added := &activeStream{}
	m.byID[id] = added
	return added
}

// remove deletes a stream unless a newer reader has replaced it.
func (m *activeStreams) remove(id string, s *activeStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byID[id] == s {
		delete(m.byID, id)
	}
}

func (m *activeStreams) find(id string) (*activeStream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.byID[id]
	return s, ok
}

// setStream sets the engine stream that is read now, and reports false if the stream has been moved.
func (m *activeStream) setStream(stream waxwingpick.EventStream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stream = stream
	return !m.moved
}

// move stops the reader, so that the entry continues at another target.
func (m *activeStream) move() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moved = true
	if m.stream != nil {
		// The reader gets an error from the closed stream whatever Close returns.
		_ = m.stream.Close()
	}
}

func (m *activeStream) wasMoved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moved
}

// moveStreams moves running streams off a leaving target, a few at a time, shortly before its departure.
func (p *Process) moveStreams(now time.Time) {
	for _, id := range p.gate.Moves(now) {
		s, ok := p.activeStreams.find(id)
		if !ok || !p.hasAlternative() {
			p.gate.FinishMove(now, id, false)
			continue
		}
		s.move()
	}
}

// hasAlternative reports whether the plan has another target of the service that is not marked as leaving.
func (p *Process) hasAlternative() bool {
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

// moveStream makes the entry continue a stream at another target. The engine's stream is kept until its KV cache has been
// fetched. If there is no time for that before the departure, it is freed immediately.
func (p *Process) moveStream(a sidecar.Attempt, readerID int, tokens int, send sidecar.SendFunc) {
	held := p.canExportInTime(a.PromptTokens + tokens)
	p.log.WithFields(logrus.Fields{
		"attempt": a.ID,
		"held":    held,
	}).Info("stream moves off the leaving target")
	// A failed send means that the entry has disconnected and will not continue the stream.
	_ = send(sidecar.Frame{
		Attempt: a.ID,
		Moved:   true,
		Held:    held,
		Report:  p.reportPointer(),
	})
	if held {
		p.awaitResume(a.ID, readerID, tokens)
		return
	}
	p.cancelStream(a.ID)
	p.gate.FinishMove(p.timers.Now(), a.ID, true)
	p.release(a.ID, readerID, tokens)
}

// canExportInTime reports whether the KV cache of the tokens can be fetched before the target's departure.
func (p *Process) canExportInTime(tokens int) bool {
	by := p.gate.DrainDeadline()
	return !by.IsZero() && p.timers.Now().Add(stages.TransferTime(tokens)).Before(by)
}

// Export exports the KV cache of a stream that moves off this target. The stream is kept until it is cancelled, or freed
// if the export fails.
func (p *Process) Export(ctx context.Context, a sidecar.Attempt) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if p.engine == nil {
		return waxwingpick.KVExport{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target is not an engine")
	}
	export, err := p.exportStream(ctx, a)
	if err != nil {
		// The stream is computed again at another target and is no longer needed here.
		p.Cancel(ctx, a)
		return export, waxwingpick.NotRun(waxwingpick.ReasonTargetLost, 0, err.Error())
	}
	// A stream without a reader is kept for resumeGrace.
	return p.offerExport(ctx, a, export, resumeGrace, func() {})
}

func (p *Process) exportStream(ctx context.Context, a sidecar.Attempt) (waxwingpick.KVExport, error) {
	if a.ByReference && p.transfersDirectly() {
		return p.engine.OfferKV(ctx, a.ID)
	}
	return p.engine.ExportKV(ctx, a.ID)
}
