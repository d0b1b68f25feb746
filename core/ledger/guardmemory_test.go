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
	roomBytes = 512
	// sureBytes is the largest answer that finds room for sure.
	sureBytes = roomBytes / 16
)

// keeper is the part of a guard that a naive variant may replace.
type keeper interface {
	Admit(now time.Time, id, incarnation string) error
	Finish(id string, answer ledger.Answer)
	Bar(now time.Time, id, incarnation string) (ledger.Standing, *ledger.Answer)
	AnswerBytes() int64
}

// evictsOldest admits whatever comes and drops the oldest answers beyond the bound.
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

func (e *evictsOldest) Finish(id string, answer ledger.Answer) {
	e.Guard.Finish(id, answer)
	e.kept = append(e.kept, id)
	e.bytes[id] = int64(len(answer.Body))
	for e.AnswerBytes() > roomBytes {
		e.dropped.Add(e.kept[0])
		e.kept = e.kept[1:]
	}
}

func (e *evictsOldest) Bar(now time.Time, id, incarnation string) (ledger.Standing, *ledger.Answer) {
	if e.dropped.Has(id) {
		return ledger.StandingLost, nil
	}
	return e.Guard.Bar(now, id, incarnation)
}

// order is what the oracle knows of an attempt; its size is below zero until it has an answer.
type order struct {
	incarnation string
	admitted    time.Time
	refused     bool
	started     bool
	size        int
}

// room is a guard with little memory and the attempts that were sent to it.
type room struct {
	guard  *ledger.Guard
	keeper keeper
	now    time.Time
	orders []*order
}

func newRoom(wrap func(g *ledger.Guard) keeper, bytes int) *room {
	guard, err := ledger.NewGuard("process", start, ledger.WithWindow(time.Minute, 4), ledger.WithGuardMemory(16*16, bytes))
	if err != nil {
		panic(err)
	}
	return &room{
		guard:  guard,
		keeper: wrap(guard),
		now:    start,
	}
}

func (r *room) act(d rapidtest.Draw) error {
	switch d(8) {
	case 0, 1, 2:
		r.admit()
	case 3, 4:
		return r.finish(d)
	case 5:
		if i := d(len(r.orders) + 1); i < len(r.orders) && r.orders[i].started {
			r.orders[i].started = false
			r.guard.Lose(fmt.Sprint(i))
		}
	case 6:
		return r.repeat(d)
	case 7:
		r.now = r.now.Add(time.Duration(d(40)) * time.Second)
	}
	return nil
}

func (r *room) admit() {
	id := fmt.Sprint(len(r.orders))
	o := &order{
		incarnation: r.guard.Incarnation(r.now),
		admitted:    r.now,
		size:        -1,
	}
	r.orders = append(r.orders, o)
	o.refused = r.keeper.Admit(r.now, id, o.incarnation) != nil
	o.started = !o.refused && r.guard.Start(id)
}

func (r *room) finish(d rapidtest.Draw) error {
	i := d(len(r.orders) + 1)
	if i >= len(r.orders) || !r.orders[i].started {
		return nil
	}
	o := r.orders[i]
	o.started = false
	o.size = 1 + d(2*sureBytes)
	r.keeper.Finish(fmt.Sprint(i), ledger.Answer{
		Body: make([]byte, o.size),
	})
	return nil
}

// repeat sends a copy of an attempt, which must never run.
func (r *room) repeat(d rapidtest.Draw) error {
	i := d(len(r.orders) + 1)
	if i >= len(r.orders) {
		return nil
	}
	err := r.keeper.Admit(r.now, fmt.Sprint(i), r.orders[i].incarnation)
	var refusal *waxwingpick.Refusal
	if !errors.As(err, &refusal) {
		return fmt.Errorf("a copy of attempt %d was admitted", i)
	}
	if refusal.Outcome == waxwingpick.OutcomeNotRun && !r.orders[i].refused && r.now.Sub(r.orders[i].admitted) < time.Minute {
		return fmt.Errorf("a copy of attempt %d, which ran, was refused as not run", i)
	}
	return nil
}

// check is the oracle: the memory stays in its bound, and each young answer that has room for sure is there.
func (r *room) check() error {
	if used := r.keeper.AnswerBytes(); used < 0 || used > roomBytes {
		return fmt.Errorf("%d bytes used of %d", used, roomBytes)
	}
	sum := 0
	for i, o := range r.orders {
		if o.size < 0 || r.now.Sub(o.admitted) > time.Minute {
			continue
		}
		standing, answer := r.keeper.Bar(r.now, fmt.Sprint(i), o.incarnation)
		if answer != nil {
			sum += len(answer.Body)
		}
		if o.size <= sureBytes && (standing != ledger.StandingAnswered || len(answer.Body) != o.size) {
			return fmt.Errorf("attempt %d with %d bytes is %s", i, o.size, standing)
		}
	}
	if sum > roomBytes {
		return fmt.Errorf("answers of %d bytes are kept", sum)
	}
	return nil
}

func roomEpisode(wrap func(g *ledger.Guard) keeper, bytes int) rapidtest.Episode {
	return func(d rapidtest.Draw) error {
		r := newRoom(wrap, bytes)
		for range 120 {
			if err := errors.Join(r.act(d), r.check()); err != nil {
				return err
			}
		}
		return r.drain()
	}
}

// drain ends every attempt and lets all of them be forgotten, which gives back all room.
func (r *room) drain() error {
	for i := range r.orders {
		r.guard.Lose(fmt.Sprint(i))
	}
	r.now = r.now.Add(10 * time.Minute)
	for i := range 200 {
		r.guard.Bar(r.now, fmt.Sprint("other", i), "other")
	}
	if left := r.guard.AnswerBytes(); left != 0 {
		return fmt.Errorf("%d bytes are used by nothing", left)
	}
	return nil
}

func TestFullGuardRefusesAndDropsNoYoungAnswer(t *testing.T) {
	rapidtest.Check(t, roomEpisode(func(g *ledger.Guard) keeper { return g }, roomBytes))
	t.Run("the oldest answer makes way", func(t *testing.T) {
		require.Error(t, rapidtest.FirstViolation(roomEpisode(func(g *ledger.Guard) keeper {
			return &evictsOldest{
				Guard: g,
				bytes: make(map[string]int64),
			}
		}, 1<<20)))
	})
}

// TestRefusedForWantOfRoomGoesOnOnceThereIsRoom fills a guard with answers, then lets them age.
func TestRefusedForWantOfRoomGoesOnOnceThereIsRoom(t *testing.T) {
	r := newRoom(func(g *ledger.Guard) keeper { return g }, roomBytes)
	for range 16 {
		r.admit()
	}
	err := r.guard.Admit(r.now, "refused", r.guard.Incarnation(r.now))
	var refusal *waxwingpick.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, waxwingpick.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	for i := range r.orders {
		r.guard.Finish(fmt.Sprint(i), ledger.Answer{
			Body: make([]byte, sureBytes),
		})
	}
	require.Error(t, r.guard.Admit(r.now, "full", r.guard.Incarnation(r.now)))
	r.now = r.now.Add(2 * time.Minute)
	require.NoError(t, r.guard.Admit(r.now, "next", r.guard.Incarnation(r.now)))
}
