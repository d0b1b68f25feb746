package config

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrNewerRecord is returned if the stored record has fields that are unknown to this version and that a write would
// drop.
var ErrNewerRecord = eris.New("configuration record is of a newer version")

// ErrNoRecord is returned if no configuration has been accepted yet.
var ErrNoRecord = eris.New("no configuration record")

// ErrChangeIDReused is returned if another change was accepted under the same ID.
var ErrChangeIDReused = eris.New("change ID is taken")

// FieldError describes one invalid field of a record.
type FieldError struct {
	path    string
	value   string
	allowed string
}

// Path returns the path of the field, such as presets[0].classes[1].deadline.
func (e FieldError) Path() string { return e.path }

// Value returns the invalid value.
func (e FieldError) Value() string { return e.value }

// Allowed describes the valid values of the field.
func (e FieldError) Allowed() string { return e.allowed }

// Error describes the invalid field.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s is %s: %s", e.path, e.value, e.allowed)
}

// ValidationError lists all invalid fields of a record.
type ValidationError struct {
	fields []FieldError
}

// Fields returns the invalid fields in the order of their paths.
func (e *ValidationError) Fields() []FieldError { return e.fields }

// Error lists the invalid fields, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.fields))
	for _, f := range e.fields {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// ConflictError means that another change was accepted first. The rejected change never takes effect.
type ConflictError struct {
	base    int64
	current Record
	diff    []Difference
}

// ConflictSince returns the conflict of a change whose base revision is not the current one.
func ConflictSince(base int64, current Record) *ConflictError {
	return &ConflictError{
		base:    base,
		current: current,
	}
}

// Base returns the revision on which the rejected change was based.
func (e *ConflictError) Base() int64 { return e.base }

// Current returns the current record.
func (e *ConflictError) Current() Record { return e.current }

// Diff returns the differences between the base and the current record.
func (e *ConflictError) Diff() []Difference { return e.diff }

// Changes returns the changes accepted since the base, oldest first, as far as the history reaches.
func (e *ConflictError) Changes() []Change {
	var changes []Change
	for _, c := range e.current.History {
		if c.Revision > e.base {
			changes = append(changes, c)
		}
	}
	return changes
}

// Error describes the newest of the other changes.
func (e *ConflictError) Error() string {
	changes := e.Changes()
	if len(changes) == 0 {
		return fmt.Sprintf("conflict: based on revision %d, in force is %d", e.base, e.current.Revision)
	}
	c := changes[len(changes)-1]
	return fmt.Sprintf("conflict: based on revision %d, in force is %d by %s: %s", e.base, c.Revision, c.By, c.Summary)
}

// UnknownError means that a change may have been accepted or may still be. The record's history contains its ID if it
// was.
type UnknownError struct {
	changeID string
	err      error
}

// ChangeID returns the ID of the change.
func (e *UnknownError) ChangeID() string { return e.changeID }

// Error describes the change and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("change %s may have been accepted: %v", e.changeID, e.err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.err }
