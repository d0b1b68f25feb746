package engine

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/rapidtest"
)

const (
	modelChecks = 60
	modelSteps  = 60
	modelBlocks = 40
	modelBatch  = 3
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, modelChecks)
}

var errModel = eris.New("model")

// model runs random operations on an engine in manual time and checks it after each of them.
type model struct {
	e     *Engine
	clock *timer.Manual
	next  int
	conflicts,
	stale int
}

// TestEngineKeepsItsBooks runs random requests, cancels, KV transfers, orders and crashes on an
// engine. After each the oracle recomputes its memory, batch, admission order and violations.
func TestEngineKeepsItsBooks(t *testing.T) {
	rapidtest.Check(t, func(d rapidtest.Draw) error {
		clock := timer.NewManual(time.Unix(1000, 0))
		e, err := New(Timers(clock), Memory(modelBlocks, 4), MaxRunning(modelBatch), Speed(time.Millisecond, time.Millisecond), RetainedStreams(5), DirectKV())
		if err != nil {
			return err
		}
		defer e.Close()
		m := &model{
			e:     e,
			clock: clock,
		}
		for range modelSteps {
			if err := m.step(d); err != nil {
				return err
			}
			if err := m.check(); err != nil {
				return err
			}
		}
		return m.drain()
	})
}

func (m *model) step(d rapidtest.Draw) error {
	switch d(10) {
	case 0, 1, 2, 3:
		m.request(d)
	case 4:
		m.cancel(d)
	case 5:
		m.transfer(d)
	case 6:
		m.order(d)
	case 7:
		if d(4) == 0 {
			m.e.Crash()
		}
	default:
		m.clock.Advance(time.Duration(d(20)) * time.Millisecond)
	}
	return nil
}

func (m *model) request(d rapidtest.Draw) {
	m.next++
	prompt := fmt.Sprintf("prompt %d", m.next)
	if d(20) == 0 {
		prompt += " " + DefaultCrashMarker
	}
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"priority":%d}`, prompt, 1+d(60), d(8))
	s, req, err := m.e.parseRequest(fmt.Sprintf("s%d", m.next), false, []byte(body))
	if err == nil {
		// The request may be rejected: check compares the state of the engine either way.
		_ = m.e.begin(s, req)
	}
}

func (m *model) cancel(d rapidtest.Draw) {
	m.e.cancel(fmt.Sprintf("s%d", 1+d(m.next+1)))
}

func (m *model) transfer(d rapidtest.Draw) {
	export, err := m.e.exportStream(fmt.Sprintf("%s%d", []string{"s", "kv"}[d(2)], 1+d(m.next+1)), d(2) == 0)
	if err == nil {
		_, _ = m.e.importKV(fmt.Sprintf("kv%d", m.next), export)
	}
}

func (m *model) order(d rapidtest.Draw) {
	before := m.e.State()
	order := waxwingpick.EngineOrder{
		Number: int64(d(8)),
		Config: waxwingpick.EngineConfig{Model: fmt.Sprintf("m%d", d(2))},
	}
	ignore := d(2) == 0
	m.e.SetFaults(Faults{
		IgnoreFencing: ignore,
		CrashInOrder:  d(8) / 7,
	})
	err := m.e.Submit(order)
	stale := order.Number < before.Order.Number || order.Number == before.Order.Number && order.Config != before.Order.Config
	if err != nil {
		return
	}
	if stale {
		m.stale++
	}
	if before.Phase == waxwingpick.OrderRunning && order.Config != before.Order.Config {
		m.conflicts++
	}
}

func (m *model) check() error {
	m.e.mu.Lock()
	defer m.e.mu.Unlock()
	usedBlocks := 0
	for _, s := range m.e.running {
		usedBlocks += s.kvBlocks
		if s.phase != phaseRunning {
			return fmt.Errorf("%w: %s is in the batch and %d", errModel, s.id, s.phase)
		}
	}
	for _, h := range m.e.handles {
		usedBlocks += h.kvBlocks
	}
	for id := range m.e.offers {
		if _, held := m.e.held(id); !held {
			return fmt.Errorf("%w: %s is offered but not held", errModel, id)
		}
	}
	if usedBlocks != m.e.usedBlocks || usedBlocks > modelBlocks {
		return fmt.Errorf("%w: %d blocks used, %d counted", errModel, usedBlocks, m.e.usedBlocks)
	}
	if len(m.e.running) > modelBatch {
		return fmt.Errorf("%w: batch of %d", errModel, len(m.e.running))
	}
	if len(m.e.waiting) > 0 && len(m.e.running) < modelBatch {
		if nextAdmitted := m.nextAdmitted(); usedBlocks+nextAdmitted.kvBlocks <= modelBlocks {
			return fmt.Errorf("%w: %s waits although it fits", errModel, nextAdmitted.id)
		}
	}
	if v := m.e.record.Violations; v.StaleOrders != m.stale || v.ConflictingOrders != m.conflicts {
		return fmt.Errorf("%w: %+v after %d stale and %d conflicting orders", errModel, v, m.stale, m.conflicts)
	}
	for id, runs := range m.e.record.Runs {
		if runs != 1 {
			return fmt.Errorf("%w: %s ran %d times", errModel, id, runs)
		}
	}
	return nil
}

// nextAdmitted returns the waiting stream to admit next: the oldest of the most urgent ones.
func (m *model) nextAdmitted() *stream {
	return slices.MinFunc(m.e.waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.serial, b.serial))
	})
}

// drain waits until everything has ended and checks that nothing is left.
func (m *model) drain() error {
	m.clock.Advance(time.Hour)
	m.e.mu.Lock()
	defer m.e.mu.Unlock()
	if m.e.usedBlocks != 0 || len(m.e.running) != 0 || len(m.e.waiting) != 0 || len(m.e.streams) > 5 || len(m.e.offers) != 0 {
		return fmt.Errorf("%w: %d blocks, %d running, %d waiting, %d streams, %d offers are left", errModel, m.e.usedBlocks, len(m.e.running), len(m.e.waiting), len(m.e.streams), len(m.e.offers))
	}
	return nil
}

func TestPrefillCancelledBeforeItIsHeldFreesItsMemory(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	e, err := New(Timers(clock))
	require.NoError(t, err)
	defer e.Close()
	s, req, err := e.parseRequest(prefillPrefix+"leg", false, []byte(`{"prompt":"a b c"}`))
	require.NoError(t, err)
	require.NoError(t, e.begin(s, req))
	clock.Advance(time.Second)
	e.cancel("leg")
	_, err = e.holdPrefill("leg", s, false)
	require.ErrorIs(t, err, errCancelled)
	require.Zero(t, e.usedBlocks)
}

func TestCancelRevokesTheOffer(t *testing.T) {
	e, err := New(DirectKV())
	require.NoError(t, err)
	defer e.Close()
	s, req, err := e.parseRequest("leg", false, []byte(`{"prompt":"a b c"}`))
	require.NoError(t, err)
	export, err := e.prefill(t.Context(), s, req, true)
	require.NoError(t, err)
	require.NotNil(t, export.Reference)
	e.cancel("leg")
	require.Empty(t, e.offers)
}
