package config

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
)

// Edit is one change that an operator asks for.
type Edit struct {
	summary string
	apply   func(r *Record)
}

// Summary says what the edit does, for the history.
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

// ApplyPresets adds the presets and replaces those of the same names; the others and the one in force stay.
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

// ApplyRecord takes presets, services and limits from the wanted record; announcements stay, and so
// does the preset in force, unless there was none or the wanted record does not have it any more.
func ApplyRecord(wanted Record) Edit {
	return Edit{
		summary: fmt.Sprintf("apply configuration of %d presets and %d services", len(wanted.Presets), len(wanted.Services)),
		apply: func(r *Record) {
			r.Presets = wanted.Presets
			r.Services = wanted.Services
			r.Limits = wanted.Limits
			kept := slices.ContainsFunc(wanted.Presets, func(p Preset) bool {
				return p.Name == r.InForce
			})
			if !kept {
				r.InForce = wanted.InForce
			}
		},
	}
}

// AnnounceLeave announces that an instance leaves by a date (zero where none is set); a repeat replaces the date.
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

// Preview returns the record that an edit leads to and what it changes; a faulty outcome fails with a ValidationError.
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
