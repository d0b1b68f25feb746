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
	// MaxForwardedWrites is the maximum number of writes that one entry forwards to another in one call.
	MaxForwardedWrites = 64
	// maxClaimSize is the maximum size of an encoded claim with its response, in bytes.
	maxClaimSize = 64 << 10
	// forwardTimeout is the time-out of a call to an owner, which includes the owner's wait for its budget and its write.
	forwardTimeout = 2 * time.Second
)

// ErrForwardRejected means that an entry accepted none of the writes forwarded to it.
var ErrForwardRejected = eris.New("owner accepted no write")

// ErrInvalidForward means that forwarded writes are not writes of grouped claims, or that they are too many or too large.
var ErrInvalidForward = eris.New("not writes of grouped claims, or too many or too large")

// ClaimWrite is a compare-and-swap of one claim, in the form in which entries forward it to each other.
type ClaimWrite struct {
	Key      string          `json:"key"`
	Expected int64           `json:"expected,omitempty"`
	Value    json.RawMessage `json:"value"`
}

// WriteOutcome is the outcome of a forwarded write.
type WriteOutcome string

// The outcomes of a forwarded write.
const (
	// WriteDone means that it took effect.
	WriteDone WriteOutcome = "written"
	// WriteConflict means that the claim had another revision.
	WriteConflict WriteOutcome = "conflict"
	// WriteUnavailable means that it did not take effect and never will.
	WriteUnavailable WriteOutcome = "unavailable"
	// WriteUnknown means that it may have taken effect or still may.
	WriteUnknown WriteOutcome = "unknown"
)

// WriteResult is the outcome of a forwarded write with the claim's new revision, if it has one.
type WriteResult struct {
	Outcome  WriteOutcome `json:"outcome"`
	Revision int64        `json:"revision,omitempty"`
}

// ForwardFunc forwards writes to the entry that owns their shard and returns their results in the same order. It fails
// with ErrForwardRejected if that entry accepted none of them. After any other error it may have written them.
type ForwardFunc func(ctx context.Context, owner waxwingpick.InstanceID, writes []ClaimWrite) ([]WriteResult, error)

// WithOwners makes one entry commit the claims of each shard. The other entries forward theirs to it.
func WithOwners(owners *Owners, forward ForwardFunc) Option {
	return func(l *Ledger) error {
		if owners == nil || forward == nil {
			return eris.New("owners set without a forward function")
		}
		l.owners, l.forward = owners, forward
		return nil
	}
}

// Commit writes claims that another entry forwarded, grouped with those of this entry. It forwards none of them again.
func (l *Ledger) Commit(ctx context.Context, writes []ClaimWrite) ([]WriteResult, error) {
	if len(writes) > MaxForwardedWrites {
		return nil, fmt.Errorf("%d writes: %w", len(writes), ErrInvalidForward)
	}
	calls := make([]*groupCall, len(writes))
	records := make([]string, len(writes))
	for i, w := range writes {
		record, hash, ok := groupPath(w.Key)
		if !ok || len(w.Value) > maxClaimSize || !json.Valid(w.Value) {
			return nil, fmt.Errorf("write %d of %d: %w", i, len(writes), ErrInvalidForward)
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

// owner returns the entry that commits a record's claims, empty if this entry writes them.
func (g *grouped) owner(hash string) waxwingpick.InstanceID {
	if g.owners == nil {
		return ""
	}
	return g.owners.Owner(g.now(), shardOf(hash)).OrElse("")
}

// forwardAll forwards the calls to the owner of their record, or writes them directly if the owner accepted none.
func (g *grouped) forwardAll(key queueKey, calls []*groupCall) {
	for len(calls) > 0 {
		n := min(len(calls), MaxForwardedWrites)
		g.forwardBatch(key, calls[:n])
		calls = calls[n:]
	}
}

func (g *grouped) forwardBatch(key queueKey, calls []*groupCall) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	results, err := g.forward(ctx, key.owner, writesOf(calls))
	if err != nil {
		g.owners.Failed(g.now(), key.owner)
	}
	switch {
	case errors.Is(err, ErrForwardRejected):
		for _, call := range calls {
			g.enqueue(queueKey{
				record: key.record,
			}, call)
		}
	case err != nil:
		respondAll(calls, fmt.Errorf("forward claims to %s: %w: %w", key.owner, waxwingpick.ErrUnknownOutcome, err))
	case len(results) != len(calls):
		respondAll(calls, fmt.Errorf("forward claims to %s: %w: %d results for %d writes", key.owner, waxwingpick.ErrUnknownOutcome, len(results), len(calls)))
	default:
		g.owners.Succeeded(key.owner)
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

// resultOf converts an owner's result to one of the key-value port.
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
			err: fmt.Errorf("owner of the claims: %w", waxwingpick.ErrUnavailable),
		}
	case WriteUnknown:
	}
	return groupResult{
		err: fmt.Errorf("owner of the claims: %w", waxwingpick.ErrUnknownOutcome),
	}
}

// outcome converts the result of a call to the one returned to the entry that forwarded it.
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
