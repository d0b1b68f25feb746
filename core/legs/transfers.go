package legs

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultTransfers is the number of transfers that one engine has under way in one direction.
	defaultTransfers = 4
	// measuredWeight is the share of a new measurement in the time for a token.
	measuredWeight = 0.25
	// measuredLifetime is how long a measured time for a token counts; behind it the default lets slow ways be tried again.
	measuredLifetime = time.Minute
	// transferSlack is how many times its predicted time a transfer may take, and leastLimit the least time that it may.
	transferSlack = 4
	leastLimit    = time.Second
)

// ErrTransferLimit says that a bound on transfers is not positive.
var ErrTransferLimit = eris.New("transfer limit must be positive")

// Transfer is one piece of KV cache on its way between two engines.
type Transfer struct {
	// ID is the name of the attempt that it belongs to.
	ID     string
	Tokens int
	// By is when the transfer is of no use any more; its place is free then, even if its end was never told.
	By time.Time
}

// Verdict says what becomes of a transfer.
type Verdict uint8

// The verdicts on a transfer.
const (
	// VerdictStart lets it begin.
	VerdictStart Verdict = iota
	// VerdictWait keeps it until Next decides.
	VerdictWait
	// VerdictRefuse says that it would not end in time.
	VerdictRefuse
)

// Decision is what Next decided on a waiting transfer.
type Decision struct {
	ID      string
	Verdict Verdict
}

// Transfers bounds the transfers that one engine has under way in one direction, so that they don't starve its decode.
// It is not safe for concurrent use.
type Transfers struct {
	limit      int
	running    []Transfer
	waiting    []Transfer
	perToken   time.Duration
	measuredAt time.Time
}

// TransfersOption sets one property of a Transfers.
type TransfersOption func(*Transfers) error

// TransferLimit sets the number of transfers under way at the same time.
func TransferLimit(n int) TransfersOption {
	return func(t *Transfers) error {
		if n <= 0 {
			return ErrTransferLimit
		}
		t.limit = n
		return nil
	}
}

// NewTransfers returns a bound without transfers.
func NewTransfers(opts ...TransfersOption) (*Transfers, error) {
	t := &Transfers{
		limit: defaultTransfers,
	}
	for _, opt := range opts {
		if err := opt(t); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Offer asks for a transfer; a transfer that starts or waits ends with End.
func (t *Transfers) Offer(now time.Time, next Transfer) Verdict {
	t.expire(now)
	if t.known(next.ID) || now.Add(t.Predict(now, next.Tokens)).After(next.By) {
		return VerdictRefuse
	}
	if len(t.running) < t.limit && len(t.waiting) == 0 {
		t.running = append(t.running, next)
		return VerdictStart
	}
	t.waiting = append(t.waiting, next)
	return VerdictWait
}

// End ends a transfer, or withdraws one that waits; an unknown ID changes nothing.
func (t *Transfers) End(id string) {
	isID := func(one Transfer) bool {
		return one.ID == id
	}
	t.running = slices.DeleteFunc(t.running, isID)
	t.waiting = slices.DeleteFunc(t.waiting, isID)
}

// Next decides on the transfer that has waited longest; it returns false while that one has to wait on.
func (t *Transfers) Next(now time.Time) (Decision, bool) {
	t.expire(now)
	if len(t.waiting) == 0 {
		return Decision{}, false
	}
	next := t.waiting[0]
	late := now.Add(t.transferTime(now, next.Tokens)).After(next.By)
	if !late && len(t.running) >= t.limit {
		return Decision{}, false
	}
	t.waiting = t.waiting[1:]
	if late {
		return Decision{
			ID:      next.ID,
			Verdict: VerdictRefuse,
		}, true
	}
	t.running = append(t.running, next)
	return Decision{
		ID:      next.ID,
		Verdict: VerdictStart,
	}, true
}

// Wake returns when time alone next frees a place or makes a waiting transfer late; false where nothing is known.
func (t *Transfers) Wake(now time.Time) (time.Time, bool) {
	if len(t.running)+len(t.waiting) == 0 {
		return time.Time{}, false
	}
	var first time.Time
	for _, one := range t.running {
		first = earliest(first, one.By)
	}
	if len(t.waiting) > 0 {
		one := t.waiting[0]
		// Just behind the time, since a transfer that ends exactly by it is not late.
		first = earliest(first, one.By.Add(-t.transferTime(now, one.Tokens)+1))
	}
	return first, true
}

// Measured takes the time that a transfer of some tokens has taken.
func (t *Transfers) Measured(now time.Time, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	sample := max(0, took-transferBase) / time.Duration(tokens)
	t.perToken = t.tokenTime(now) + time.Duration(measuredWeight*float64(sample-t.tokenTime(now)))
	t.measuredAt = now
}

// Predict returns the time until a transfer of some tokens that is offered now will have ended.
func (t *Transfers) Predict(now time.Time, tokens int) time.Duration {
	var ahead time.Duration
	for _, one := range append(t.running[:len(t.running):len(t.running)], t.waiting...) {
		ahead += t.transferTime(now, one.Tokens)
	}
	if len(t.running) < t.limit && len(t.waiting) == 0 {
		ahead = 0
	}
	return ahead/time.Duration(t.limit) + t.transferTime(now, tokens)
}

// Limit returns how long a transfer of some tokens that has a place may take before it is given up.
func (t *Transfers) Limit(now time.Time, tokens int) time.Duration {
	return max(leastLimit, transferSlack*t.transferTime(now, tokens))
}

func (t *Transfers) transferTime(now time.Time, tokens int) time.Duration {
	return transferBase + time.Duration(tokens)*t.tokenTime(now)
}

func (t *Transfers) tokenTime(now time.Time) time.Duration {
	if t.measuredAt.IsZero() || now.Sub(t.measuredAt) >= measuredLifetime {
		return transferPerToken
	}
	return t.perToken
}

// expire frees the places of transfers whose end was lost.
func (t *Transfers) expire(now time.Time) {
	t.running = slices.DeleteFunc(t.running, func(one Transfer) bool {
		return !now.Before(one.By)
	})
}

func (t *Transfers) known(id string) bool {
	for _, list := range [][]Transfer{t.running, t.waiting} {
		if slices.ContainsFunc(list, func(one Transfer) bool { return one.ID == id }) {
			return true
		}
	}
	return false
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
