package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"waxwingpick"
)

// maxWriteAttempts bounds the attempts to write a record while responses are lost.
const maxWriteAttempts = 4

// Snapshot is a record as read from the key-value service.
type Snapshot struct {
	record   Record
	revision int64
	newer    bool
}

// Record returns the record. Its revision is zero if no record has been accepted.
func (s Snapshot) Record() Record { return s.record }

// KeyRevision returns the key's revision in the key-value service, zero if the key is absent.
func (s Snapshot) KeyRevision() int64 { return s.revision }

// Store commits edits to the record in the key-value service.
type Store struct {
	kv waxwingpick.KeyValue
}

// NewStore returns a Store that uses the key-value service.
func NewStore(kv waxwingpick.KeyValue) *Store {
	return &Store{
		kv: kv,
	}
}

// Load reads the record. It returns an empty Snapshot if there is none.
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

// Request is an edit with its author.
type Request struct {
	Edit Edit
	// ChangeID is unique to this request. Committing the same request again with the same ID is safe.
	ChangeID string
	// By is the name of the operator.
	By string
	// At is the time of the request.
	At time.Time
}

// Commit applies the edit to the base, writes the result and returns it. An edit that changes nothing
// is not written. After a ConflictError or ErrUnavailable the change never takes effect. After an
// UnknownError it may have taken effect or may still do so.
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

// stamp sets the next revision of the record and appends the change to its history.
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

// write replaces the value by compare-and-swap. If the response is lost, it writes the same value again.
// Because of the expected revision at most one of the writes succeeds, even if an earlier one arrives late.
func (s *Store) write(ctx context.Context, base Snapshot, next Record, value []byte) (Snapshot, error) {
	var unknownErr error
	for range maxWriteAttempts {
		e, err := s.kv.CompareAndSwap(ctx, Key, base.revision, value, 0)
		switch {
		case err == nil:
			return Snapshot{
				record:   next,
				revision: e.Revision,
			}, nil
		case errors.Is(err, waxwingpick.ErrConflict):
			return s.resolve(ctx, base, next.ChangeID, unknownErr)
		case errors.Is(err, waxwingpick.ErrUnknownOutcome):
			unknownErr = err
		case unknownErr != nil:
			// This write had no effect, but an earlier one may still have one.
		default:
			return Snapshot{}, fmt.Errorf("commit: %w", err)
		}
	}
	return Snapshot{}, &UnknownError{
		changeID: next.ChangeID,
		err:      unknownErr,
	}
}

// resolve reads the current record and determines whether it contains the change.
func (s *Store) resolve(ctx context.Context, base Snapshot, changeID string, unknownErr error) (Snapshot, error) {
	current, err := s.Load(ctx)
	if err != nil {
		if unknownErr == nil {
			return Snapshot{}, fmt.Errorf("commit: %w: %w", waxwingpick.ErrConflict, err)
		}
		return Snapshot{}, &UnknownError{
			changeID: changeID,
			err:      err,
		}
	}
	if current.contains(changeID) {
		return current, nil
	}
	if unknownErr != nil && current.record.Revision-base.record.Revision > MaxHistory {
		return Snapshot{}, &UnknownError{
			changeID: changeID,
			err:      unknownErr,
		}
	}
	return Snapshot{}, &ConflictError{
		base:    base.record.Revision,
		current: current.record,
		diff:    Diff(base.record, current.record),
	}
}

func (s Snapshot) contains(changeID string) bool {
	_, ok := s.change(changeID)
	return ok
}

// change returns the change with the ID from the history.
func (s Snapshot) change(changeID string) (Change, bool) {
	for _, c := range s.record.History {
		if c.ChangeID == changeID {
			return c, true
		}
	}
	return Change{}, false
}
