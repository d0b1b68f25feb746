package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"waxwingpick"
)

// settleAttempts bounds the writes with which a lost answer is settled.
const settleAttempts = 4

// Snapshot is the record as it was read.
type Snapshot struct {
	record   Record
	revision int64
	newer    bool
}

// Record returns the record; its revision is zero where none has been accepted.
func (s Snapshot) Record() Record { return s.record }

// KeyRevision returns the key's revision in the key-value service; zero where the key is absent.
func (s Snapshot) KeyRevision() int64 { return s.revision }

// Store commits edits to the record in the key-value service.
type Store struct {
	kv waxwingpick.KeyValue
}

// NewStore returns a store over the key-value service.
func NewStore(kv waxwingpick.KeyValue) *Store {
	return &Store{
		kv: kv,
	}
}

// Load reads the record; an absent one is an empty Snapshot.
func (s *Store) Load(ctx context.Context) (Snapshot, error) {
	e, err := s.kv.Get(ctx, Key)
	if err != nil {
		return Snapshot{}, fmt.Errorf("load configuration: %w", err)
	}
	if !e.Exists() {
		return Snapshot{}, nil
	}
	r, newer, err := decodeAny(e.Value)
	if err != nil {
		return Snapshot{}, fmt.Errorf("load configuration: %w", err)
	}
	return Snapshot{
		record:   r,
		revision: e.Revision,
		newer:    newer,
	}, nil
}

// Request is one edit with its author.
type Request struct {
	Edit Edit
	// ChangeID is unique to this request; the same request may be committed again under it.
	ChangeID string
	// By names the operator.
	By string
	// At is the time of the request.
	At time.Time
}

// Commit writes the edit on top of the base and returns the record that holds it. An edit that
// changes nothing writes nothing. The errors say what became of the change: a ConflictError and
// ErrUnavailable that it never takes effect, an UnknownError that it may.
func (s *Store) Commit(ctx context.Context, base Snapshot, req Request) (Snapshot, error) {
	if base.newer {
		return Snapshot{}, fmt.Errorf("commit: %w", ErrNewerRecord)
	}
	if earlier, ok := base.change(req.ChangeID); ok {
		if earlier.Summary != req.Edit.summary {
			return Snapshot{}, fmt.Errorf("change %s (%s): %w", req.ChangeID, earlier.Summary, ErrChangeIDReused)
		}
		return base, nil
	}
	next, diff, err := Preview(base.record, req.Edit)
	if err != nil {
		return Snapshot{}, err
	}
	if len(diff) == 0 {
		return base, nil
	}
	next = stamp(next, req)
	value, err := Encode(next)
	if err != nil {
		return Snapshot{}, err
	}
	return s.write(ctx, base, next, value)
}

// stamp gives the record its next revision and the history its newest change.
func stamp(r Record, req Request) Record {
	r.Revision++
	r.ChangeID = req.ChangeID
	r.History = append(r.History, Change{
		Revision: r.Revision,
		ChangeID: req.ChangeID,
		By:       req.By,
		At:       req.At.UTC().Truncate(time.Second),
		Summary:  req.Edit.summary,
	})
	if len(r.History) > MaxHistory {
		r.History = slices.Clone(r.History[len(r.History)-MaxHistory:])
	}
	return r
}

// write swaps the value in. A lost answer is settled by writing the same value again: the expected
// revision lets at most one of the writes through, even where an earlier one lands late.
func (s *Store) write(ctx context.Context, base Snapshot, next Record, value []byte) (Snapshot, error) {
	var lost error
	for range settleAttempts {
		e, err := s.kv.CompareAndSwap(ctx, Key, base.revision, value, 0)
		switch {
		case err == nil:
			return Snapshot{
				record:   next,
				revision: e.Revision,
			}, nil
		case errors.Is(err, waxwingpick.ErrConflict):
			return s.settle(ctx, base, next.ChangeID, lost)
		case errors.Is(err, waxwingpick.ErrUnknownOutcome):
			lost = err
		case lost != nil:
			// This write had no effect, but an earlier one still may.
		default:
			return Snapshot{}, fmt.Errorf("commit: %w", err)
		}
	}
	return Snapshot{}, &UnknownError{
		changeID: next.ChangeID,
		err:      lost,
	}
}

// settle tells from the record that won whether it holds the change.
func (s *Store) settle(ctx context.Context, base Snapshot, changeID string, lost error) (Snapshot, error) {
	current, err := s.Load(ctx)
	if err != nil {
		if lost == nil {
			return Snapshot{}, fmt.Errorf("commit: %w: %w", waxwingpick.ErrConflict, err)
		}
		return Snapshot{}, &UnknownError{
			changeID: changeID,
			err:      err,
		}
	}
	if current.holds(changeID) {
		return current, nil
	}
	if lost != nil && current.record.Revision-base.record.Revision > MaxHistory {
		return Snapshot{}, &UnknownError{
			changeID: changeID,
			err:      lost,
		}
	}
	return Snapshot{}, &ConflictError{
		base:    base.record.Revision,
		current: current.record,
		diff:    Diff(base.record, current.record),
	}
}

func (s Snapshot) holds(changeID string) bool {
	_, ok := s.change(changeID)
	return ok
}

// change returns the change of the ID from the history.
func (s Snapshot) change(changeID string) (Change, bool) {
	for _, c := range s.record.History {
		if c.ChangeID == changeID {
			return c, true
		}
	}
	return Change{}, false
}
