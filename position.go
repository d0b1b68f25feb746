package waxwingpick

import (
	"cmp"
	"fmt"
)

// Position is a position in the history of a key-value service. The service begins a new era when it returns from an older
// copy: it has lost what it acknowledged since, and gives out the revisions after the copy again.
type Position struct {
	// Era is zero for a service that names no eras.
	Era      int64
	Revision int64
}

// Compare returns a negative number if p is before other, zero if both are equal, and a positive number if p is after
// other. Every position of an era is after those of earlier eras.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool {
	return p.Compare(other) < 0
}

// String returns the form used in logs and errors.
func (p Position) String() string {
	return fmt.Sprintf("%d.%d", p.Era, p.Revision)
}
