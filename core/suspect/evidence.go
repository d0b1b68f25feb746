package suspect

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// beginWindow is the maximum time between the begin of a response and a crash that it may have caused. A request that
	// crashes its target does so when the target begins to answer it.
	beginWindow = time.Second
	// maxStrikes bounds the strikes that are kept of one candidate.
	maxStrikes = 8
	// requestDepth is the depth of a whole request, which is below all parts of its prompt.
	requestDepth = math.MaxUint8
)

// Strike is one crash at which a request with a candidate was in flight, and its response had just begun or had not begun.
type Strike struct {
	// CrashID identifies the run of the target that crashed as far as it is known, equally in every process.
	CrashID string
	// Reporter is the process that detected the crash, and Number its number of the crash among those with the same ID.
	Reporter string
	Number   int
	// Depth is the index of a part in the prompt. Requests with a part at a greater depth are fewer than those with the parts
	// before it.
	Depth uint8
	// Completes means that responses with the candidate were complete at some time before, so that it is less likely to be
	// the cause.
	Completes bool
	// SentAt is when the request was sent to the target, and LostAt when its response broke off.
	SentAt time.Time
	LostAt time.Time
}

// CandidateStrike is a strike with the candidate that it counts against.
type CandidateStrike struct {
	Candidate Candidate
	Strike    Strike
}

// strikesOf returns the strikes of a crash, one for each candidate. Of several requests with a candidate the one that
// was sent last counts.
func strikesOf(reporter string, d DetectedCrash) []CandidateStrike {
	latest := make(map[Candidate]Strike)
	for _, f := range d.InFlight {
		if began, ok := f.BeganAt.Get(); ok && f.LostAt.Sub(began) > beginWindow {
			continue
		}
		for i, c := range f.Candidates {
			depth := uint8(requestDepth)
			if c.kind == CandidatePart {
				depth = uint8(min(i, maxCandidateParts))
			}
			if known, ok := latest[c]; !ok || f.SentAt.After(known.SentAt) {
				latest[c] = Strike{
					CrashID:  d.Crash.ID,
					Reporter: reporter,
					Number:   d.Crash.Number,
					Depth:    depth,
					SentAt:   f.SentAt,
					LostAt:   f.LostAt,
				}
			}
		}
	}
	all := make([]CandidateStrike, 0, len(latest))
	for c, s := range latest {
		all = append(all, CandidateStrike{
			Candidate: c,
			Strike:    s,
		})
	}
	slices.SortFunc(all, func(a, b CandidateStrike) int {
		return cmp.Or(cmp.Compare(a.Candidate.kind, b.Candidate.kind), cmp.Compare(a.Candidate.sum, b.Candidate.sum))
	})
	return all
}

// strikes holds the independent strikes of a candidate, oldest first. Of crashes that happen together, such as those of a
// whole availability zone, only the first one counts: the other requests were sent before it.
type strikes []Strike

// with returns the strikes with a further one, or the same strikes if it is known or not independent.
func (s strikes) with(added Strike) strikes {
	if slices.ContainsFunc(s, added.sameCrash) {
		return s
	}
	all := append(slices.Clone(s), added)
	slices.SortFunc(all, func(a, b Strike) int {
		return cmp.Or(a.LostAt.Compare(b.LostAt), cmp.Compare(a.CrashID, b.CrashID))
	})
	independent := all[:1]
	for _, next := range all[1:] {
		if next.SentAt.After(independent[len(independent)-1].LostAt) {
			independent = append(independent, next)
		}
	}
	return independent[max(0, len(independent)-maxStrikes):]
}

// except returns the strikes of other crashes.
func (s strikes) except(others strikes) strikes {
	return slices.DeleteFunc(slices.Clone(s), func(one Strike) bool { return slices.ContainsFunc(others, one.sameCrash) })
}

// since returns the strikes of requests that were sent after a time.
func (s strikes) since(at time.Time) strikes {
	return slices.DeleteFunc(slices.Clone(s), func(one Strike) bool { return !one.SentAt.After(at) })
}

// sameCrash reports whether two strikes are of one crash.
func (s Strike) sameCrash(other Strike) bool {
	switch {
	case s.CrashID != other.CrashID:
		return false
	case s.Reporter == other.Reporter:
		return s.Number == other.Number
	}
	return s.LostAt.Sub(other.LostAt).Abs() <= lossWindow
}

// shared returns the number of strikes that are of the same crashes as strikes of another candidate.
func (s strikes) shared(other strikes) int {
	n := 0
	for _, one := range s {
		if slices.ContainsFunc(other, one.sameCrash) {
			n++
		}
	}
	return n
}

// depth returns the depth of the latest strike.
func (s strikes) depth() uint8 {
	return s[len(s)-1].Depth
}

// crashIDs returns the crashes of the strikes.
func (s strikes) crashIDs() []string {
	ids := make([]string, 0, len(s))
	for _, one := range s {
		ids = append(ids, one.CrashID)
	}
	return ids
}
