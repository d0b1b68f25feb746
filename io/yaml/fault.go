package yaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	file    string
	line    int
	field   string
	problem string
}

// File returns the name of the file.
func (f Fault) File() string { return f.file }

// Line returns the line number, starting at 1, or zero if the fault concerns the file as a whole.
func (f Fault) Line() int { return f.line }

// Field returns the path of the field, such as presets[0].name, or an empty string if the fault concerns no field.
func (f Fault) Field() string { return f.field }

// Problem describes the error and the valid values.
func (f Fault) Problem() string { return f.problem }

// Error returns the fault in the form file:line: field: problem.
func (f Fault) Error() string {
	text := f.file
	if f.line > 0 {
		text = fmt.Sprintf("%s:%d", text, f.line)
	}
	if f.field != "" {
		text += ": " + f.field
	}
	return text + ": " + f.problem
}

// FileError holds all faults of a file.
type FileError struct {
	faults []Fault
}

// Faults returns the faults ordered by line.
func (e *FileError) Faults() []Fault { return e.faults }

// Error returns the faults, one per line.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

func newFileError(faults []Fault) *FileError {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Compare(a.line, b.line)
	})
	return &FileError{
		faults: faults,
	}
}
