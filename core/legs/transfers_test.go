package legs_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"waxwingpick/core/legs"
	"waxwingpick/internal/rapidtest"
)

const transferSteps = 60

// What the oracle of transfers can find wrong.
var (
	errTooMany  = eris.New("more transfers than the bound")
	errStarved  = eris.New("a transfer waits beside a free place")
	errTooLate  = eris.New("a transfer started that is of no use")
	errOvertake = eris.New("a transfer overtook an older one")
	errUndue    = eris.New("refused although it would have been in time")
)

// limiter is what the oracle watches: the bound or a naive way.
type limiter interface {
	Offer(now time.Time, next legs.Transfer) legs.Verdict
	End(id string)
	Next(now time.Time) (legs.Decision, bool)
	Wake(now time.Time) (time.Time, bool)
}

// forgetfulLimiter keeps the place of a transfer whose end is lost.
type forgetfulLimiter struct {
	*legs.Transfers
}

func (f forgetfulLimiter) Offer(now time.Time, next legs.Transfer) legs.Verdict {
	next.By = next.By.Add(time.Hour)
	return f.Transfers.Offer(now, next)
}

// roomyLimiter lets each transfer start that would be in time.
type roomyLimiter struct {
	*legs.Transfers
}

func (r roomyLimiter) Offer(now time.Time, next legs.Transfer) legs.Verdict {
	if r.Transfers.Offer(now, next) == legs.VerdictRefuse {
		return legs.VerdictRefuse
	}
	return legs.VerdictStart
}

// transferWorld drives a bound by offers, ends, lost ends and time.
type transferWorld struct {
	t       limiter
	limit   int
	now     time.Time
	next    int
	running map[string]legs.Transfer
	waiting []legs.Transfer
}

func transferEpisode(build func(t *legs.Transfers) limiter) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		limit := 1 + draw(3)
		t, err := legs.NewTransfers(legs.TransferLimit(limit))
		if err != nil {
			return err
		}
		w := &transferWorld{
			t:       build(t),
			limit:   limit,
			now:     start,
			running: make(map[string]legs.Transfer),
		}
		for range transferSteps {
			if err := w.step(draw); err != nil {
				return err
			}
		}
		return nil
	}
}

func (w *transferWorld) step(draw rapidtest.Draw) error {
	switch draw(4) {
	case 0, 1:
		if err := w.offer(draw); err != nil {
			return err
		}
	case 2:
		// Which one ends doesn't matter to the oracle.
		id := fmt.Sprint(draw(w.next + 1))
		delete(w.running, id)
		w.waiting = slices.DeleteFunc(w.waiting, func(one legs.Transfer) bool { return one.ID == id })
		w.t.End(id)
	default:
		w.now = w.now.Add(time.Duration(draw(400)) * time.Millisecond)
		if wake, ok := w.t.Wake(w.now); ok && wake.After(w.now) && draw(3) == 0 {
			w.now = wake
		}
	}
	return w.settle()
}

func (w *transferWorld) offer(draw rapidtest.Draw) error {
	w.next++
	one := legs.Transfer{
		ID:     fmt.Sprint(w.next),
		Tokens: draw(50_000),
		By:     w.now.Add(time.Duration(draw(1000)) * time.Millisecond),
	}
	w.expire()
	alone := len(w.running) < w.limit && len(w.waiting) == 0
	inTime := !w.now.Add(legs.TransferTime(one.Tokens)).After(one.By)
	switch w.t.Offer(w.now, one) {
	case legs.VerdictStart:
		return w.start(one)
	case legs.VerdictWait:
		w.waiting = append(w.waiting, one)
	case legs.VerdictRefuse:
		if alone && inTime {
			return errUndue
		}
	}
	return nil
}

func (w *transferWorld) start(one legs.Transfer) error {
	w.running[one.ID] = one
	if len(w.running) > w.limit {
		return errTooMany
	}
	if !w.now.Before(one.By) {
		return errTooLate
	}
	return nil
}

func (w *transferWorld) expire() {
	maps.DeleteFunc(w.running, func(_ string, one legs.Transfer) bool { return !w.now.Before(one.By) })
}

// settle takes every decision that is due and checks that nobody waits for nothing.
func (w *transferWorld) settle() error {
	w.expire()
	for {
		d, ok := w.t.Next(w.now)
		if !ok {
			break
		}
		if len(w.waiting) == 0 || w.waiting[0].ID != d.ID {
			return errOvertake
		}
		one := w.waiting[0]
		w.waiting = w.waiting[1:]
		if d.Verdict == legs.VerdictStart {
			if err := w.start(one); err != nil {
				return err
			}
		}
	}
	if len(w.waiting) > 0 && len(w.running) < w.limit {
		return errStarved
	}
	return nil
}

func TestTransfersAreBounded(t *testing.T) {
	rapidtest.Check(t, transferEpisode(func(t *legs.Transfers) limiter { return t }))
	require.ErrorIs(t, rapidtest.FirstViolation(transferEpisode(func(t *legs.Transfers) limiter {
		return forgetfulLimiter{Transfers: t}
	})), errStarved)
	require.ErrorIs(t, rapidtest.FirstViolation(transferEpisode(func(t *legs.Transfers) limiter {
		return roomyLimiter{Transfers: t}
	})), errTooMany)
}

func TestPredictionFollowsMeasurements(t *testing.T) {
	transfers, err := legs.NewTransfers()
	require.NoError(t, err)
	before := transfers.Predict(start, movedTokens)
	require.Equal(t, legs.TransferTime(movedTokens), before)
	for range 8 {
		transfers.Measured(start, movedTokens, 10*before)
	}
	require.Greater(t, transfers.Predict(start, movedTokens), 5*before)
	require.Equal(t, before, transfers.Predict(start.Add(time.Hour), movedTokens), "a slow way is tried again")
}
