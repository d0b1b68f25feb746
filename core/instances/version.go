package instances

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// newVersion returns a version with sorted rows. Of several rows with the same ID it keeps the last.
func newVersion(rows []waxwingpick.Instance) version {
	sorted := slices.Clone(rows)
	slices.Reverse(sorted)
	slices.SortStableFunc(sorted, compareIDs)
	sorted = slices.CompactFunc(sorted, func(a, b waxwingpick.Instance) bool {
		return a.ID == b.ID
	})
	for i := range sorted {
		sorted[i].LeaveBy = sorted[i].LeaveBy.UTC().Round(0)
	}
	return version{
		sum:  sumOf(sorted),
		rows: sorted,
	}
}

func compareIDs(a, b waxwingpick.Instance) int {
	return cmp.Compare(a.ID, b.ID)
}

// sumOf returns a hash of all rows.
func sumOf(rows []waxwingpick.Instance) uint64 {
	d := xxhash.New()
	var number [8]byte
	for _, r := range rows {
		leaving := "0"
		if r.Leaving {
			leaving = "1"
		}
		for _, part := range []string{string(r.ID), string(r.Kind), string(r.Zone), r.Control, r.Data, string(r.Service), string(r.Target), leaving} {
			// Writes to a hash never fail.
			_, _ = d.WriteString(part)
			_, _ = d.WriteString("\x00")
		}
		binary.BigEndian.PutUint64(number[:], uint64(r.LeaveBy.UnixNano()))
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}

func (v version) find(id waxwingpick.InstanceID) (waxwingpick.Instance, bool) {
	i, ok := slices.BinarySearchFunc(v.rows, id, func(r waxwingpick.Instance, id waxwingpick.InstanceID) int {
		return cmp.Compare(r.ID, id)
	})
	if !ok {
		return waxwingpick.Instance{}, false
	}
	return v.rows[i], true
}

// changesTo returns the changed or added rows and the removed IDs between two versions.
func (v version) changesTo(next version) (rows []waxwingpick.Instance, removed []waxwingpick.InstanceID) {
	for _, after := range next.rows {
		if before, ok := v.find(after.ID); !ok || before != after {
			rows = append(rows, after)
		}
	}
	for _, before := range v.rows {
		if _, ok := next.find(before.ID); !ok {
			removed = append(removed, before.ID)
		}
	}
	return rows, removed
}

// apply returns the version with the changes applied.
func (v version) apply(rows []waxwingpick.Instance, removed []waxwingpick.InstanceID) version {
	removedSet := waxwingpick.NewSet(removed...)
	next := make([]waxwingpick.Instance, 0, len(v.rows)+len(rows))
	for _, r := range v.rows {
		if !removedSet.Has(r.ID) {
			next = append(next, r)
		}
	}
	return newVersion(append(next, rows...))
}
