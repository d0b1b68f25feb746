package config

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
)

// Edit is one change requested by an operator.
type Edit struct {
	summary string
	apply   func(r *Record)
}

// Summary describes the edit for the history.
func (e Edit) Summary() string { return e.summary }

// SwitchPreset puts the named preset in force.
func SwitchPreset(name string) Edit {
	return Edit{
		summary: "switch preset to " + name,
		apply: func(r *Record) {
			r.InForce = name
		},
	}
}

// ApplyPresets adds the presets and replaces those with the same names. Other presets and the choice of the preset in
// force are not changed.
func ApplyPresets(presets []Preset) Edit {
	return Edit{
		summary: fmt.Sprintf("apply %d presets", len(presets)),
		apply: func(r *Record) {
			for _, p := range presets {
				i := slices.IndexFunc(r.Presets, func(old Preset) bool {
					return old.Name == p.Name
				})
				if i < 0 {
					r.Presets = append(r.Presets, p)
					continue
				}
				r.Presets[i] = p
			}
		},
	}
}

// ApplyRecord replaces presets, services and limits by those of the desired record. Announcements are kept.
// The preset in force is kept as well, unless there is none or the desired record does not contain it.
func ApplyRecord(desired Record) Edit {
	return Edit{
		summary: fmt.Sprintf("apply configuration of %d presets and %d services", len(desired.Presets), len(desired.Services)),
		apply: func(r *Record) {
			r.Presets = desired.Presets
			r.Services = desired.Services
			r.Limits = desired.Limits
			kept := slices.ContainsFunc(desired.Presets, func(p Preset) bool {
				return p.Name == r.InForce
			})
			if !kept {
				r.InForce = desired.InForce
			}
		},
	}
}

// AnnounceLeave announces that an instance leaves by a date, zero if none is set. A repeated announcement replaces the
// date.
func AnnounceLeave(instance waxwingpick.InstanceID, by, since time.Time) Edit {
	by = by.UTC().Truncate(time.Second)
	since = since.UTC().Truncate(time.Second)
	return Edit{
		summary: "announce that " + string(instance) + " leaves",
		apply: func(r *Record) {
			i := slices.IndexFunc(r.Leaving, func(l Leaving) bool {
				return l.Instance == instance
			})
			if i >= 0 {
				r.Leaving[i].By = by
				return
			}
			r.Leaving = append(r.Leaving, Leaving{
				Instance: instance,
				By:       by,
				Since:    since,
			})
		},
	}
}

// WithdrawLeave withdraws the announcement that an instance leaves.
func WithdrawLeave(instance waxwingpick.InstanceID) Edit {
	return Edit{
		summary: "withdraw that " + string(instance) + " leaves",
		apply: func(r *Record) {
			r.Leaving = slices.DeleteFunc(r.Leaving, func(l Leaving) bool {
				return l.Instance == instance
			})
		},
	}
}

// Preview returns the record after an edit and its differences from the record before. It fails with a ValidationError
// if the new record is not valid.
func Preview(r Record, e Edit) (Record, []Difference, error) {
	next := r
	next.Presets = slices.Clone(r.Presets)
	next.Services = slices.Clone(r.Services)
	next.Leaving = slices.Clone(r.Leaving)
	next.History = slices.Clone(r.History)
	e.apply(&next)
	if err := Validate(next); err != nil {
		return Record{}, nil, fmt.Errorf("%s: %w", e.summary, err)
	}
	return next, Diff(r, next), nil
}
