package legs

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

// Estimate is the predicted time of a request's parts on one engine.
type Estimate struct {
	Target  waxwingpick.TargetID
	Wait    time.Duration
	Prefill time.Duration
	Decode  time.Duration
}

func (e Estimate) total() time.Duration {
	return e.Wait + e.Prefill + e.Decode
}

// Choice holds the engines that a request can run on; Prefill and Decode are the two legs.
type Choice struct {
	Single  Estimate
	Prefill Estimate
	Decode  Estimate
	// Transfer is the predicted time of export, transport and import of the KV cache.
	Transfer time.Duration
	// Margin is by how much two legs have to be sooner to be worth their risk.
	Margin time.Duration
	// Within bounds the time of the legs; zero leaves it to the deadline.
	Within time.Duration
}

// Move returns the choice for a stream that leaves its engine: its KV cache comes from the source, or the target computes
// prompt and generated tokens again at its rate in tokens a second. Legs that take longer than the target would are left.
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
		Transfer: TransferTime(tokens),
		Within:   again,
	}
}

// TwoLegs reports whether two engines are sooner than one.
func (c Choice) TwoLegs() bool {
	if c.Prefill.Target == "" || c.Decode.Target == "" || c.Prefill.Target == c.Decode.Target {
		return false
	}
	return c.twoLegTime()+c.Margin < c.Single.total()
}

func (c Choice) twoLegTime() time.Duration {
	return c.Prefill.Wait + c.Prefill.Prefill + c.Transfer + c.Decode.Wait + c.Decode.Decode
}

// fallBackBy returns the latest time at which one engine can still answer in
// time; where there is none at the start, the legs have the whole deadline.
// Within may end the legs sooner.
func (c Choice) fallBackBy(start, deadline time.Time) time.Time {
	latest := deadline.Add(-c.Single.total())
	if !latest.After(start) {
		latest = deadline
	}
	if within := start.Add(c.Within); c.Within > 0 && within.Before(latest) {
		return within
	}
	return latest
}
