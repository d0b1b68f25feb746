package yaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	file    string
	line    int
	field   string
	problem string
}

// File returns the file's name.
func (f Fault) File() string { return f.file }

// Line returns the line, from 1; zero where the fault is of the whole file.
func (f Fault) Line() int { return f.line }

// Field returns the field's path, such as presets[0].name; empty where the fault is of the whole file.
func (f Fault) Field() string { return f.field }

// Problem says what is wrong and what is allowed.
func (f Fault) Problem() string { return f.problem }

// Error describes the fault as file:line: field: problem.
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

// FileError holds every fault of a file.
type FileError struct {
	faults []Fault
}

// Faults returns the faults in the order of their lines.
func (e *FileError) Faults() []Fault { return e.faults }

// Error lists the faults, one a line.
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
