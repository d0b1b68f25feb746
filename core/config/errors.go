package config

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrNewerRecord says that the stored record has fields that this program does not know and would drop.
var ErrNewerRecord = eris.New("configuration record is of a newer version")

// ErrNoRecord says that no configuration has been accepted yet.
var ErrNoRecord = eris.New("no configuration record")

// ErrChangeIDReused says that another change was accepted under the same ID.
var ErrChangeIDReused = eris.New("change ID is taken")

// FieldError is one fault of a record.
type FieldError struct {
	path    string
	value   string
	allowed string
}

// Path names the field, such as presets[0].classes[1].deadline.
func (e FieldError) Path() string { return e.path }

// Value is the value that was refused.
func (e FieldError) Value() string { return e.value }

// Allowed says what the field may hold.
func (e FieldError) Allowed() string { return e.allowed }

// Error describes the fault.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s is %s: %s", e.path, e.value, e.allowed)
}

// ValidationError holds every fault of a record.
type ValidationError struct {
	fields []FieldError
}

// Fields returns the faults in the order of their paths.
func (e *ValidationError) Fields() []FieldError { return e.fields }

// Error lists the faults, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.fields))
	for _, f := range e.fields {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// ConflictError says that another change was accepted first; the own change never takes effect.
type ConflictError struct {
	base    int64
	current Record
	diff    []Difference
}

// ConflictSince returns the conflict of a change that expected a base revision which is not current.
func ConflictSince(base int64, current Record) *ConflictError {
	return &ConflictError{
		base:    base,
		current: current,
	}
}

// Base is the revision that the refused change was based on.
func (e *ConflictError) Base() int64 { return e.base }

// Current is the record in force instead.
func (e *ConflictError) Current() Record { return e.current }

// Diff lists what differs between the base and the current record.
func (e *ConflictError) Diff() []Difference { return e.diff }

// Changes returns the changes accepted since the base, oldest first, as far as the history holds them.
func (e *ConflictError) Changes() []Change {
	var changes []Change
	for _, c := range e.current.History {
		if c.Revision > e.base {
			changes = append(changes, c)
		}
	}
	return changes
}

// Error names the newest other change.
func (e *ConflictError) Error() string {
	changes := e.Changes()
	if len(changes) == 0 {
		return fmt.Sprintf("conflict: based on revision %d, in force is %d", e.base, e.current.Revision)
	}
	c := changes[len(changes)-1]
	return fmt.Sprintf("conflict: based on revision %d, in force is %d by %s: %s", e.base, c.Revision, c.By, c.Summary)
}

// UnknownError says that a change may have been accepted or may yet be; its ID tells in the record's history.
type UnknownError struct {
	changeID string
	err      error
}

// ChangeID identifies the change.
func (e *UnknownError) ChangeID() string { return e.changeID }

// Error describes the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("change %s may have been accepted: %v", e.changeID, e.err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.err }
