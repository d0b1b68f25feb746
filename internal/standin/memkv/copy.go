package memkv

import (
	"maps"

	"waxwingpick"
)

// Copy is the state of a service at one moment.
type Copy struct {
	revision  int64
	records   map[string]record
	lastLease waxwingpick.LeaseID
	leases    map[waxwingpick.LeaseID]*lease
}

// Revision returns the revision of the copy.
func (c Copy) Revision() int64 {
	return c.revision
}

// Copy returns the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	return Copy{
		revision:  s.revision,
		records:   maps.Clone(s.records),
		lastLease: s.lastLease,
		leases:    maps.Clone(s.leases),
	}
}

// Restore replaces the state by a copy. What was written since is lost, and revisions and leases are given out again. Watches
// are not notified.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.unlock()
	for id, l := range s.leases {
		if _, ok := c.leases[id]; !ok {
			l.stop()
		}
	}
	s.revision = c.revision
	s.records = maps.Clone(c.records)
	s.lastLease = c.lastLease
	s.leases = maps.Clone(c.leases)
}
