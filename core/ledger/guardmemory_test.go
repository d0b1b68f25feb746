package ledger_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/internal/rapidtest"
)

const (
	memoryBytes = 512
	// reservedBytes is the size of the largest response that is always stored.
	reservedBytes = memoryBytes / 16
)

// guardVariant is the part of a guard that a naive variant may replace.
type guardVariant interface {
	Admit(now time.Time, id, incarnation string) error
	Finish(id string, answer ledger.Response)
	Fence(now time.Time, id, incarnation string) (ledger.AttemptState, *ledger.Response)
	AnswerBytes() int64
}

// evictsOldest admits all attempts and evicts the oldest responses beyond the limit.
type evictsOldest struct {
	*ledger.Guard
	kept    []string
	bytes   map[string]int64
	dropped waxwingpick.Set[string]
}

func (e *evictsOldest) AnswerBytes() int64 {
	var sum int64
	for _, id := range e.kept {
		sum += e.bytes[id]
	}
	return sum
}

func (e *evictsOldest) Finish(id string, answer ledger.Response) {
	e.Guard.Finish(id, answer)
	e.kept = append(e.kept, id)
	e.bytes[id] = int64(len(answer.Body))
	for e.AnswerBytes() > memoryBytes {
		e.dropped.Add(e.kept[0])
		e.kept = e.kept[1:]
	}
}

func (e *evictsOldest) Fence(now time.Time, id, incarnation string) (ledger.AttemptState, *ledger.Response) {
	if e.dropped.Has(id) {
		return ledger.StandingLost, nil
	}
	return e.Guard.Fence(now, id, incarnation)
}

// order is the oracle's record of an attempt. Its size is negative until it has a response.
type order struct {
	incarnation string
	admitted    time.Time
	refused     bool
	started     bool
	size        int
}

// guardMemory is a guard with little memory and the attempts that were sent to it.
type guardMemory struct {
	guard        *ledger.Guard
	guardVariant guardVariant
	now          time.Time
	orders       []*order
}

func newGuardMemory(wrap func(g *ledger.Guard) guardVariant, bytes int) *guardMemory {
	guard, err := ledger.NewGuard("process", start, ledger.WithWindow(time.Minute, 4), ledger.WithGuardMemory(16*16, bytes))
	if err != nil {
		panic(err)
	}
	return &guardMemory{
		guard:        guard,
		guardVariant: wrap(guard),
		now:          start,
	}
}

func (r *guardMemory) act(d rapidtest.Draw) error {
	switch d(8) {
	case 0, 1, 2:
		r.admit()
	case 3, 4:
		return r.finish(d)
	case 5:
		if i := d(len(r.orders) + 1); i < len(r.orders) && r.orders[i].started {
			r.orders[i].started = false
			r.guard.MarkLost(fmt.Sprint(i))
		}
	case 6:
		return r.repeat(d)
	case 7:
		r.now = r.now.Add(time.Duration(d(40)) * time.Second)
	}
	return nil
}

func (r *guardMemory) admit() {
	id := fmt.Sprint(len(r.orders))
	o := &order{
		incarnation: r.guard.Incarnation(r.now),
		admitted:    r.now,
		size:        -1,
	}
	r.orders = append(r.orders, o)
	o.refused = r.guardVariant.Admit(r.now, id, o.incarnation) != nil
	o.started = !o.refused && r.guard.Start(id)
}

func (r *guardMemory) finish(d rapidtest.Draw) error {
	i := d(len(r.orders) + 1)
	if i >= len(r.orders) || !r.orders[i].started {
		return nil
	}
	o := r.orders[i]
	o.started = false
	o.size = 1 + d(2*reservedBytes)
	r.guardVariant.Finish(fmt.Sprint(i), ledger.Response{
		Body: make([]byte, o.size),
	})
	return nil
}

// repeat sends a duplicate of an attempt, which must never run.
func (r *guardMemory) repeat(d rapidtest.Draw) error {
	i := d(len(r.orders) + 1)
	if i >= len(r.orders) {
		return nil
	}
	err := r.guardVariant.Admit(r.now, fmt.Sprint(i), r.orders[i].incarnation)
	var refusal *waxwingpick.Refusal
	if !errors.As(err, &refusal) {
		return fmt.Errorf("a duplicate of attempt %d was admitted", i)
	}
	if refusal.Outcome == waxwingpick.OutcomeNotRun && !r.orders[i].refused && r.now.Sub(r.orders[i].admitted) < time.Minute {
		return fmt.Errorf("a duplicate of attempt %d, which ran, was refused as not run", i)
	}
	return nil
}

// check is the oracle: memory use stays within the limit, and each recent response of up to reservedBytes is stored.
func (r *guardMemory) check() error {
	if used := r.guardVariant.AnswerBytes(); used < 0 || used > memoryBytes {
		return fmt.Errorf("%d bytes used of %d", used, memoryBytes)
	}
	sum := 0
	for i, o := range r.orders {
		if o.size < 0 || r.now.Sub(o.admitted) > time.Minute {
			continue
		}
		standing, answer := r.guardVariant.Fence(r.now, fmt.Sprint(i), o.incarnation)
		if answer != nil {
			sum += len(answer.Body)
		}
		if o.size <= reservedBytes && (standing != ledger.StandingAnswered || len(answer.Body) != o.size) {
			return fmt.Errorf("attempt %d with %d bytes is %s", i, o.size, standing)
		}
	}
	if sum > memoryBytes {
		return fmt.Errorf("answers of %d bytes are kept", sum)
	}
	return nil
}

func guardMemoryEpisode(wrap func(g *ledger.Guard) guardVariant, bytes int) rapidtest.Episode {
	return func(d rapidtest.Draw) error {
		r := newGuardMemory(wrap, bytes)
		for range 120 {
			if err := errors.Join(r.act(d), r.check()); err != nil {
				return err
			}
		}
		return r.drain()
	}
}

// drain ends every attempt and lets all records expire, which releases all memory.
func (r *guardMemory) drain() error {
	for i := range r.orders {
		r.guard.MarkLost(fmt.Sprint(i))
	}
	r.now = r.now.Add(10 * time.Minute)
	for i := range 200 {
		r.guard.Fence(r.now, fmt.Sprint("other", i), "other")
	}
	if left := r.guard.AnswerBytes(); left != 0 {
		return fmt.Errorf("%d bytes remain in use", left)
	}
	return nil
}

func TestFullGuardRefusesAndDropsNoYoungAnswer(t *testing.T) {
	rapidtest.Check(t, guardMemoryEpisode(func(g *ledger.Guard) guardVariant { return g }, memoryBytes))
	t.Run("the oldest answer is evicted", func(t *testing.T) {
		require.Error(t, rapidtest.FirstViolation(guardMemoryEpisode(func(g *ledger.Guard) guardVariant {
			return &evictsOldest{
				Guard: g,
				bytes: make(map[string]int64),
			}
		}, 1<<20)))
	})
}

// TestRefusedForWantOfRoomGoesOnOnceThereIsRoom fills a guard with responses, then lets them expire.
func TestRefusedForWantOfRoomGoesOnOnceThereIsRoom(t *testing.T) {
	r := newGuardMemory(func(g *ledger.Guard) guardVariant { return g }, memoryBytes)
	for range 16 {
		r.admit()
	}
	err := r.guard.Admit(r.now, "refused", r.guard.Incarnation(r.now))
	var refusal *waxwingpick.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, waxwingpick.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	for i := range r.orders {
		r.guard.Finish(fmt.Sprint(i), ledger.Response{
			Body: make([]byte, reservedBytes),
		})
	}
	require.Error(t, r.guard.Admit(r.now, "full", r.guard.Incarnation(r.now)))
	r.now = r.now.Add(2 * time.Minute)
	require.NoError(t, r.guard.Admit(r.now, "next", r.guard.Incarnation(r.now)))
}
