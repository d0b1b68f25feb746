package stages_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"waxwingpick/core/stages"
	"waxwingpick/internal/rapidtest"
)

const transferSteps = 60

// The violations that the oracle of transfers can find.
var (
	errTooMany         = eris.New("more transfers than the limit")
	errStarved         = eris.New("a transfer waits beside a free slot")
	errTooLate         = eris.New("a transfer started after its deadline")
	errReordered       = eris.New("a transfer overtook an older one")
	errUnneededRefusal = eris.New("refused although it would have been in time")
)

// limiter is what the oracle checks: the limit or a naive variant.
type limiter interface {
	Offer(now time.Time, next stages.Transfer) stages.Verdict
	End(id string)
	Next(now time.Time) (stages.Decision, bool)
	NextWake(now time.Time) (time.Time, bool)
}

// nonExpiringLimiter keeps the slot of a transfer whose end is lost.
type nonExpiringLimiter struct {
	*stages.Transfers
}

func (f nonExpiringLimiter) Offer(now time.Time, next stages.Transfer) stages.Verdict {
	next.Deadline = next.Deadline.Add(time.Hour)
	return f.Transfers.Offer(now, next)
}

// unboundedLimiter starts each transfer that would end in time.
type unboundedLimiter struct {
	*stages.Transfers
}

func (r unboundedLimiter) Offer(now time.Time, next stages.Transfer) stages.Verdict {
	if r.Transfers.Offer(now, next) == stages.VerdictRefuse {
		return stages.VerdictRefuse
	}
	return stages.VerdictStart
}

// transferSimulation steps a limit through offers, ends, lost ends and time.
type transferSimulation struct {
	t       limiter
	limit   int
	now     time.Time
	next    int
	running map[string]stages.Transfer
	waiting []stages.Transfer
}

func transferEpisode(build func(t *stages.Transfers) limiter) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		limit := 1 + draw(3)
		t, err := stages.NewTransfers(stages.WithTransferLimit(limit))
		if err != nil {
			return err
		}
		sim := &transferSimulation{
			t:       build(t),
			limit:   limit,
			now:     start,
			running: make(map[string]stages.Transfer),
		}
		for range transferSteps {
			if err := sim.step(draw); err != nil {
				return err
			}
		}
		return nil
	}
}

func (sim *transferSimulation) step(draw rapidtest.Draw) error {
	switch draw(4) {
	case 0, 1:
		if err := sim.offer(draw); err != nil {
			return err
		}
	case 2:
		// It doesn't matter to the oracle which transfer ends.
		id := fmt.Sprint(draw(sim.next + 1))
		delete(sim.running, id)
		sim.waiting = slices.DeleteFunc(sim.waiting, func(transfer stages.Transfer) bool { return transfer.ID == id })
		sim.t.End(id)
	default:
		sim.now = sim.now.Add(time.Duration(draw(400)) * time.Millisecond)
		if wake, ok := sim.t.NextWake(sim.now); ok && wake.After(sim.now) && draw(3) == 0 {
			sim.now = wake
		}
	}
	return sim.settle()
}

func (sim *transferSimulation) offer(draw rapidtest.Draw) error {
	sim.next++
	transfer := stages.Transfer{
		ID:       fmt.Sprint(sim.next),
		Tokens:   draw(50_000),
		Deadline: sim.now.Add(time.Duration(draw(1000)) * time.Millisecond),
	}
	sim.expire()
	free := len(sim.running) < sim.limit && len(sim.waiting) == 0
	inTime := !sim.now.Add(stages.TransferTime(transfer.Tokens)).After(transfer.Deadline)
	switch sim.t.Offer(sim.now, transfer) {
	case stages.VerdictStart:
		return sim.start(transfer)
	case stages.VerdictWait:
		sim.waiting = append(sim.waiting, transfer)
	case stages.VerdictRefuse:
		if free && inTime {
			return errUnneededRefusal
		}
	}
	return nil
}

func (sim *transferSimulation) start(transfer stages.Transfer) error {
	sim.running[transfer.ID] = transfer
	if len(sim.running) > sim.limit {
		return errTooMany
	}
	if !sim.now.Before(transfer.Deadline) {
		return errTooLate
	}
	return nil
}

func (sim *transferSimulation) expire() {
	maps.DeleteFunc(sim.running, func(_ string, transfer stages.Transfer) bool { return !sim.now.Before(transfer.Deadline) })
}

// settle applies every decision that is due and checks that no transfer waits beside a free slot.
func (sim *transferSimulation) settle() error {
	sim.expire()
	for {
		d, ok := sim.t.Next(sim.now)
		if !ok {
			break
		}
		if len(sim.waiting) == 0 || sim.waiting[0].ID != d.ID {
			return errReordered
		}
		transfer := sim.waiting[0]
		sim.waiting = sim.waiting[1:]
		if d.Verdict == stages.VerdictStart {
			if err := sim.start(transfer); err != nil {
				return err
			}
		}
	}
	if len(sim.waiting) > 0 && len(sim.running) < sim.limit {
		return errStarved
	}
	return nil
}

func TestTransfersAreBounded(t *testing.T) {
	rapidtest.Check(t, transferEpisode(func(t *stages.Transfers) limiter { return t }))
	require.ErrorIs(t, rapidtest.FirstViolation(transferEpisode(func(t *stages.Transfers) limiter {
		return nonExpiringLimiter{Transfers: t}
	})), errStarved)
	require.ErrorIs(t, rapidtest.FirstViolation(transferEpisode(func(t *stages.Transfers) limiter {
		return unboundedLimiter{Transfers: t}
	})), errTooMany)
}

func TestPredictionFollowsMeasurements(t *testing.T) {
	transfers, err := stages.NewTransfers()
	require.NoError(t, err)
	before := transfers.Predict(start, movedTokens)
	require.Equal(t, stages.TransferTime(movedTokens), before)
	for range 8 {
		transfers.RecordDuration(start, movedTokens, 10*before)
	}
	require.Greater(t, transfers.Predict(start, movedTokens), 5*before)
	require.Equal(t, before, transfers.Predict(start.Add(time.Hour), movedTokens), "an expired measurement must not count")
}
