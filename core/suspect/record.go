package suspect

import (
	"cmp"
	"slices"
	"time"

	"waxwingpick"
)

// crashesToRefuse is the number of crashes after which a fingerprint is refused.
const crashesToRefuse = 2

// Status is how a request with a fingerprint may run.
type Status uint8

// The statuses of a fingerprint.
const (
	// StatusClean means that the request may run anywhere.
	StatusClean Status = iota
	// StatusSuspect means that the request may run only as the one suspect of its target.
	StatusSuspect
	// StatusRefused means that the request must not run.
	StatusRefused
)

// String returns the name used in reports.
func (s Status) String() string {
	switch s {
	case StatusClean:
		return "clean"
	case StatusSuspect:
		return "suspect"
	case StatusRefused:
		return "refused"
	}
	return "unknown"
}

// Refuse returns the refusal of a request that must not run. after is the time until its crashes have expired, zero if
// unknown.
func Refuse(after time.Duration) *waxwingpick.Refusal {
	return waxwingpick.NotRun(waxwingpick.ReasonCrashSuspect, after, "request was in flight at repeated crashes of targets")
}

// Crash is one crash of a target.
type Crash struct {
	// ID identifies the crash equally in every process that detected it, such as by the target and its boot ID.
	ID string    `json:"id"`
	At time.Time `json:"at"`
	// Target is the target that crashed.
	Target waxwingpick.TargetID `json:"target,omitempty"`
	// Number counts the crashes under this ID that the detecting process has seen before. A target that starts again may
	// keep its ID, and its new start may not be known yet.
	Number int `json:"-"`
}

// Record holds the crashes of one fingerprint.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes holds the latest crashes at which the request was in flight, latest first.
	Crashes []Crash `json:"crashes,omitempty"`
	// Lifted is when an operator or a successful response cleared the fingerprint. Crashes up to then do not count.
	Lifted time.Time `json:"lifted,omitzero"`
}

// merge returns the union of both records. It is commutative, associative and idempotent.
func (r Record) merge(other Record) Record {
	merged := Record{
		Fingerprint: r.Fingerprint,
		Lifted:      latest(r.Lifted, other.Lifted),
	}
	for _, crash := range slices.Concat(r.Crashes, other.Crashes) {
		merged.add(crash)
	}
	return merged
}

// add inserts a crash in order, unless it is present or no longer counts. Of two times of one crash the later one is kept.
func (r *Record) add(crash Crash) {
	if !crash.At.After(r.Lifted) {
		return
	}
	for i, existing := range r.Crashes {
		if existing.ID != crash.ID {
			continue
		}
		if !crash.At.After(existing.At) {
			return
		}
		r.Crashes = slices.Delete(r.Crashes, i, i+1)
		break
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortFunc(r.Crashes, compareCrashes)
	r.Crashes = r.Crashes[:min(len(r.Crashes), crashesToRefuse)]
}

func (r Record) status(oldest time.Time) Status {
	counted := 0
	for _, crash := range r.Crashes {
		if crash.At.After(oldest) {
			counted++
		}
	}
	switch {
	case counted >= crashesToRefuse:
		return StatusRefused
	case counted > 0:
		return StatusSuspect
	}
	return StatusClean
}

// newest returns the time of the record's latest change.
func (r Record) newest() time.Time {
	if len(r.Crashes) == 0 {
		return r.Lifted
	}
	return latest(r.Lifted, r.Crashes[0].At)
}

func compareCrashes(a, b Crash) int {
	if order := b.At.Compare(a.At); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r Record) equal(other Record) bool {
	return r.Lifted.Equal(other.Lifted) && slices.EqualFunc(r.Crashes, other.Crashes, sameCrash)
}

func sameCrash(a, b Crash) bool {
	return a.ID == b.ID && a.At.Equal(b.At)
}
