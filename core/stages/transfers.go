package stages

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultTransfers is the number of concurrent transfers of one engine in one direction.
	defaultTransfers = 4
	// measurementWeight is the weight of a new measurement in the moving average of the time per token.
	measurementWeight = 0.25
	// measurementLifetime is how long a measured time per token is used. After it the default applies, so that slow paths are
	// tried again.
	measurementLifetime = time.Minute
	// transferLimitFactor is the time-out of a transfer as a multiple of its predicted time, and minLimit the minimum time-out.
	transferLimitFactor = 4
	minLimit            = time.Second
)

// ErrTransferLimit means that a limit on transfers is not positive.
var ErrTransferLimit = eris.New("transfer limit must be positive")

// Transfer is the transfer of a KV cache between two engines.
type Transfer struct {
	// ID is the name of the attempt that the transfer belongs to.
	ID     string
	Tokens int
	// Deadline is the time after which the transfer is useless. Its slot is freed then, even if its end was not reported.
	Deadline time.Time
}

// Verdict is the decision on a transfer.
type Verdict uint8

// The verdicts on a transfer.
const (
	// VerdictStart means that the transfer starts.
	VerdictStart Verdict = iota
	// VerdictWait means that the transfer waits until Next decides.
	VerdictWait
	// VerdictRefuse means that the transfer would not end in time.
	VerdictRefuse
)

// Decision is the decision of Next on a waiting transfer.
type Decision struct {
	ID      string
	Verdict Verdict
}

// Transfers limits the concurrent transfers of one engine in one direction, so that they don't starve its decode.
// It is not safe for concurrent use.
type Transfers struct {
	limit      int
	running    []Transfer
	waiting    []Transfer
	perToken   time.Duration
	measuredAt time.Time
}

// TransfersOption configures a Transfers.
type TransfersOption func(*Transfers) error

// WithTransferLimit sets the maximum number of concurrent transfers.
func WithTransferLimit(n int) TransfersOption {
	return func(t *Transfers) error {
		if n <= 0 {
			return ErrTransferLimit
		}
		t.limit = n
		return nil
	}
}

// NewTransfers returns a Transfers without transfers.
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

// Offer requests a transfer. The host calls End for each transfer that starts or waits.
func (t *Transfers) Offer(now time.Time, next Transfer) Verdict {
	t.expire(now)
	if t.contains(next.ID) || now.Add(t.Predict(now, next.Tokens)).After(next.Deadline) {
		return VerdictRefuse
	}
	if len(t.running) < t.limit && len(t.waiting) == 0 {
		t.running = append(t.running, next)
		return VerdictStart
	}
	t.waiting = append(t.waiting, next)
	return VerdictWait
}

// End ends a running or waiting transfer. An unknown ID has no effect.
func (t *Transfers) End(id string) {
	isID := func(transfer Transfer) bool {
		return transfer.ID == id
	}
	t.running = slices.DeleteFunc(t.running, isID)
	t.waiting = slices.DeleteFunc(t.waiting, isID)
}

// Next decides on the transfer that has waited longest. It returns false while that transfer has to wait.
func (t *Transfers) Next(now time.Time) (Decision, bool) {
	t.expire(now)
	if len(t.waiting) == 0 {
		return Decision{}, false
	}
	next := t.waiting[0]
	late := now.Add(t.transferTime(now, next.Tokens)).After(next.Deadline)
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

// NextWake returns when a deadline next frees a slot or makes the first waiting transfer late, false if there are no
// transfers.
func (t *Transfers) NextWake(now time.Time) (time.Time, bool) {
	if len(t.running)+len(t.waiting) == 0 {
		return time.Time{}, false
	}
	var first time.Time
	for _, transfer := range t.running {
		first = earliest(first, transfer.Deadline)
	}
	if len(t.waiting) > 0 {
		transfer := t.waiting[0]
		// Just after that time, since a transfer that ends exactly by its deadline is not late.
		first = earliest(first, transfer.Deadline.Add(-t.transferTime(now, transfer.Tokens)+1))
	}
	return first, true
}

// RecordDuration records the duration of a transfer of the given number of tokens.
func (t *Transfers) RecordDuration(now time.Time, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	sample := max(0, took-transferBase) / time.Duration(tokens)
	t.perToken = t.tokenTime(now) + time.Duration(measurementWeight*float64(sample-t.tokenTime(now)))
	t.measuredAt = now
}

// Predict returns the predicted time from now until a transfer of the given number of tokens would end.
func (t *Transfers) Predict(now time.Time, tokens int) time.Duration {
	var ahead time.Duration
	for _, transfer := range append(t.running[:len(t.running):len(t.running)], t.waiting...) {
		ahead += t.transferTime(now, transfer.Tokens)
	}
	if len(t.running) < t.limit && len(t.waiting) == 0 {
		ahead = 0
	}
	return ahead/time.Duration(t.limit) + t.transferTime(now, tokens)
}

// Limit returns the time-out of a started transfer of the given number of tokens.
func (t *Transfers) Limit(now time.Time, tokens int) time.Duration {
	return max(minLimit, transferLimitFactor*t.transferTime(now, tokens))
}

func (t *Transfers) transferTime(now time.Time, tokens int) time.Duration {
	return transferBase + time.Duration(tokens)*t.tokenTime(now)
}

func (t *Transfers) tokenTime(now time.Time) time.Duration {
	if t.measuredAt.IsZero() || now.Sub(t.measuredAt) >= measurementLifetime {
		return transferPerToken
	}
	return t.perToken
}

// expire frees the slots of transfers whose end was not reported.
func (t *Transfers) expire(now time.Time) {
	t.running = slices.DeleteFunc(t.running, func(transfer Transfer) bool {
		return !now.Before(transfer.Deadline)
	})
}

func (t *Transfers) contains(id string) bool {
	for _, list := range [][]Transfer{t.running, t.waiting} {
		if slices.ContainsFunc(list, func(transfer Transfer) bool { return transfer.ID == id }) {
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
