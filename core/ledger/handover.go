package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	// MaxHandover bounds the writes that one entry hands to another at once.
	MaxHandover = 64
	// maxClaimSize bounds an encoded claim with its answer, in bytes.
	maxClaimSize = 64 << 10
	// handoverTimeout bounds the wait for an owner, which waits for the budget and writes meanwhile.
	handoverTimeout = 2 * time.Second
)

// ErrNotTaken says that an entry took none of the writes that were handed to it.
var ErrNotTaken = eris.New("no write was taken")

// ErrBadHandover says that handed writes are none of claims in groups, or too many or too large.
var ErrBadHandover = eris.New("no writes of grouped claims within the bounds")

// ClaimWrite is a compare-and-swap of one claim, as entries hand it to each other.
type ClaimWrite struct {
	Key      string          `json:"key"`
	Expected int64           `json:"expected,omitempty"`
	Value    json.RawMessage `json:"value"`
}

// WriteOutcome tells what became of a handed write.
type WriteOutcome string

// The outcomes of a handed write.
const (
	// WriteDone says that it took effect.
	WriteDone WriteOutcome = "written"
	// WriteConflict says that the claim had another revision.
	WriteConflict WriteOutcome = "conflict"
	// WriteUnavailable says that it did not take effect and never will.
	WriteUnavailable WriteOutcome = "unavailable"
	// WriteUnknown says that it may have taken effect or still may.
	WriteUnknown WriteOutcome = "unknown"
)

// WriteResult is the outcome of a handed write with the claim's new revision, if it has one.
type WriteResult struct {
	Outcome  WriteOutcome `json:"outcome"`
	Revision int64        `json:"revision,omitempty"`
}

// HandoverFunc hands writes to the entry that owns their shard and returns their results in the same order. It fails
// with ErrNotTaken where that entry took none of them; after any other error it may have written them.
type HandoverFunc func(ctx context.Context, owner waxwingpick.InstanceID, writes []ClaimWrite) ([]WriteResult, error)

// WithOwners lets one entry gather the claims of each shard: the others hand theirs to it.
func WithOwners(owners *Owners, hand HandoverFunc) Option {
	return func(l *Ledger) error {
		if owners == nil || hand == nil {
			return eris.New("owners without a way to hand claims over")
		}
		l.owners, l.hand = owners, hand
		return nil
	}
}

// Commit writes claims that another entry handed over, together with those of this one; it hands none of them on.
func (l *Ledger) Commit(ctx context.Context, writes []ClaimWrite) ([]WriteResult, error) {
	if len(writes) > MaxHandover {
		return nil, fmt.Errorf("%d writes: %w", len(writes), ErrBadHandover)
	}
	calls := make([]*groupCall, len(writes))
	records := make([]string, len(writes))
	for i, w := range writes {
		record, hash, ok := groupPath(w.Key)
		if !ok || len(w.Value) > maxClaimSize || !json.Valid(w.Value) {
			return nil, fmt.Errorf("write %d of %d: %w", i, len(writes), ErrBadHandover)
		}
		calls[i] = newGroupCall(w.Key, hash, w.Expected, w.Value)
		records[i] = record
	}
	for i, call := range calls {
		l.kv.enqueue(queueKey{
			record: records[i],
		}, call)
	}
	results := make([]WriteResult, len(calls))
	for i, call := range calls {
		results[i] = call.await(ctx).outcome()
	}
	return results, nil
}

// owner returns the entry that a record's claims go to; none where this entry writes them.
func (g *grouped) owner(hash string) waxwingpick.InstanceID {
	if g.owners == nil {
		return ""
	}
	return g.owners.Owner(g.now(), shardOf(hash)).OrElse("")
}

// handOver gives the calls to the owner of their record, or writes them here where it took none.
func (g *grouped) handOver(key queueKey, calls []*groupCall) {
	for len(calls) > 0 {
		n := min(len(calls), MaxHandover)
		g.handSome(key, calls[:n])
		calls = calls[n:]
	}
}

func (g *grouped) handSome(key queueKey, calls []*groupCall) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	results, err := g.hand(ctx, key.owner, writesOf(calls))
	if err != nil {
		g.owners.Failed(g.now(), key.owner)
	}
	switch {
	case errors.Is(err, ErrNotTaken):
		for _, call := range calls {
			g.enqueue(queueKey{
				record: key.record,
			}, call)
		}
	case err != nil:
		answerAll(calls, fmt.Errorf("hand claims to %s: %w: %w", key.owner, waxwingpick.ErrUnknownOutcome, err))
	case len(results) != len(calls):
		answerAll(calls, fmt.Errorf("hand claims to %s: %w: %d results for %d writes", key.owner, waxwingpick.ErrUnknownOutcome, len(results), len(calls)))
	default:
		g.owners.Worked(key.owner)
		for i, call := range calls {
			call.done <- call.resultOf(results[i])
		}
	}
}

func writesOf(calls []*groupCall) []ClaimWrite {
	writes := make([]ClaimWrite, len(calls))
	for i, call := range calls {
		writes[i] = ClaimWrite{
			Key:      call.path,
			Expected: call.write.expected,
			Value:    call.write.value,
		}
	}
	return writes
}

// resultOf turns an owner's result into that of the key-value port.
func (c *groupCall) resultOf(r WriteResult) groupResult {
	switch r.Outcome {
	case WriteDone:
		return groupResult{
			entry: waxwingpick.Entry{
				Key:      c.path,
				Value:    c.write.value,
				Revision: r.Revision,
			},
		}
	case WriteConflict:
		return groupResult{
			err: waxwingpick.ErrConflict,
		}
	case WriteUnavailable:
		return groupResult{
			err: fmt.Errorf("the owner of the claims: %w", waxwingpick.ErrUnavailable),
		}
	case WriteUnknown:
	}
	return groupResult{
		err: fmt.Errorf("the owner of the claims: %w", waxwingpick.ErrUnknownOutcome),
	}
}

// outcome turns the result of a call into what is told to the entry that handed it over.
func (r groupResult) outcome() WriteResult {
	switch {
	case r.err == nil:
		return WriteResult{
			Outcome:  WriteDone,
			Revision: r.entry.Revision,
		}
	case errors.Is(r.err, waxwingpick.ErrConflict):
		return WriteResult{
			Outcome: WriteConflict,
		}
	case errors.Is(r.err, waxwingpick.ErrUnavailable):
		return WriteResult{
			Outcome: WriteUnavailable,
		}
	}
	return WriteResult{
		Outcome: WriteUnknown,
	}
}
