package stages

import (
	"time"

	"waxwingpick"
)

const (
	// transferBase and transferPerToken predict the export, transport and import of KV cache.
	transferBase     = 20 * time.Millisecond
	transferPerToken = 5 * time.Microsecond
)

// TransferTime predicts the export, transport and import of the KV cache of a number of tokens.
func TransferTime(tokens int) time.Duration {
	return transferBase + time.Duration(tokens)*transferPerToken
}

// Estimate is the predicted duration of a request's parts on one engine.
type Estimate struct {
	Target  waxwingpick.TargetID
	Wait    time.Duration
	Prefill time.Duration
	Decode  time.Duration
}

func (e Estimate) total() time.Duration {
	return e.Wait + e.Prefill + e.Decode
}

// Choice holds the engines that a request can run on. Prefill and Decode are for the two stages, Single for one engine.
type Choice struct {
	Single  Estimate
	Prefill Estimate
	Decode  Estimate
	// Transfer is the predicted time of export, transport and import of the KV cache.
	Transfer time.Duration
	// Margin is the minimum time that two stages have to save to justify their risk.
	Margin time.Duration
	// StageTimeout is the time-out of the prefill and transfer stages. If it is zero, the deadline bounds them.
	StageTimeout time.Duration
}

// Move returns the choice for a stream that leaves its engine: its KV cache is transferred from the source, or the target
// recomputes prompt and generated tokens at rate, in tokens per second. The transfer is given up if it takes longer than
// the recomputation would.
func Move(source, target waxwingpick.TargetID, tokens int, rate float64) Choice {
	var again time.Duration
	if rate > 0 {
		again = time.Duration(float64(tokens) / rate * float64(time.Second))
	}
	return Choice{
		Single: Estimate{
			Target:  target,
			Prefill: again,
		},
		Prefill: Estimate{
			Target: source,
		},
		Decode: Estimate{
			Target: target,
		},
		Transfer:     TransferTime(tokens),
		StageTimeout: again,
	}
}

// TwoStages reports whether two engines are predicted to be faster than one.
func (c Choice) TwoStages() bool {
	if c.Prefill.Target == "" || c.Decode.Target == "" || c.Prefill.Target == c.Decode.Target {
		return false
	}
	return c.twoStageTime()+c.Margin < c.Single.total()
}

func (c Choice) twoStageTime() time.Duration {
	return c.Prefill.Wait + c.Prefill.Prefill + c.Transfer + c.Decode.Wait + c.Decode.Decode
}

// fallbackDeadline returns the latest time at which one engine can still answer
// before the deadline. If there is none at the start, the stages have until the
// deadline. StageTimeout may end the stages sooner.
func (c Choice) fallbackDeadline(start, deadline time.Time) time.Time {
	latest := deadline.Add(-c.Single.total())
	if !latest.After(start) {
		latest = deadline
	}
	if within := start.Add(c.StageTimeout); c.StageTimeout > 0 && within.Before(latest) {
		return within
	}
	return latest
}
