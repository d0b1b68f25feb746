package suspect

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// minRequestStrikes and maxRequestStrikes bound the number of strikes after which a whole request is convicted.
	minRequestStrikes = 2
	maxRequestStrikes = 3
	// minPartStrikes and maxPartStrikes bound the number of strikes after which a prompt part is convicted. A part with
	// complete responses in the past needs the latter.
	minPartStrikes = 3
	maxPartStrikes = 5
	// falseRequestBlame and falsePartBlame are the probabilities with which a candidate that crashes nothing may collect the
	// strikes that convict it, unless their maximum is reached before.
	falseRequestBlame = 1e-3
	falsePartBlame    = 1e-5
	// priorResponses and priorCrashed are counted in addition to the observed responses, until there are enough of them.
	priorResponses = 300
	priorCrashed   = 1
	// rateWindow is the time over which responses are counted, up to twice that.
	rateWindow = 30 * time.Second
	// suspicionTTL is the time after which a strike no longer counts against a candidate that is not convicted.
	suspicionTTL = time.Minute
	// rivalStrikes is the number of strikes that a candidate shares with a better suspect, its rival, from which on these
	// strikes count for the rival only, unless there are maxRivalStrikes in all.
	rivalStrikes    = 2
	maxRivalStrikes = 7
	// maxExplained bounds the explained crashes that are remembered.
	maxExplained = 1024
)

// Blame attributes the crashes of targets to what the requests in flight have in common. A candidate is a cause that
// crashes every target that begins to answer a request with it, so that one complete response clears it of all crashes
// before. A candidate is convicted by a number of crashes without a complete response in between, which grows with the
// share of responses that crashes end anyway. Of several candidates that the same crashes convict, one without complete
// responses in the past is, and of these the one of the greatest depth, as it stops the fewest requests. Crashes at which
// a convicted candidate was in flight are explained and count against no other one, except that a whole request does not
// explain crashes for a prompt part.
//
// The expected load is a few requests that share a part of their prompts, among many sound ones that share their other
// parts. Processes exchange strikes, convictions and completions in any order and any number of times.
type Blame struct {
	owner     string
	completed completions

	mu     sync.Mutex
	states map[Candidate]*state
	// current and previous count the responses of two rate windows. windowAt is when the current one began.
	current, previous responses
	windowAt          time.Time
	trials            uint64
	// explained maps the crashes at which a convicted candidate was in flight to that candidate.
	explained map[string]explanation
}

// responses counts the responses that began, and those of them that a crash ended.
type responses struct {
	began   int
	crashed int
}

// explanation is the candidate to which a crash is attributed.
type explanation struct {
	by     Candidate
	strike Strike
}

// Change is a candidate that was convicted, with the crashes that convicted it.
type Change struct {
	Candidate Candidate
	Crashes   []string
}

// NewBlame returns a Blame without knowledge. owner names this process, so that processes do not try a candidate at the
// same time.
func NewBlame(owner string) *Blame {
	return &Blame{
		owner:     owner,
		states:    make(map[Candidate]*state),
		explained: make(map[string]explanation),
	}
}

// Began counts a response that began.
func (b *Blame) Began(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now).began++
}

// window returns the counters of the current rate window.
func (b *Blame) window(now time.Time) *responses {
	if now.Sub(b.windowAt) > rateWindow {
		b.previous = b.current
		if now.Sub(b.windowAt) > 2*rateWindow {
			b.previous = responses{}
		}
		b.current = responses{}
		b.windowAt = now
	}
	return &b.current
}

// Cleared is a candidate that a complete response cleared.
type Cleared struct {
	Candidate Candidate
	// Convicted means that it was convicted before, not only suspected.
	Convicted bool
}

// Completed records a complete response to a request and returns the candidates that it clears.
func (b *Blame) Completed(now time.Time, candidates []Candidate) []Cleared {
	for _, c := range candidates {
		b.completed.add(now, c)
	}
	var cleared []Cleared
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range candidates {
		s, ok := b.states[c]
		if !ok {
			continue
		}
		if changed, convicted := s.clear(now); changed {
			cleared = append(cleared, Cleared{
				Candidate: c,
				Convicted: convicted,
			})
		}
	}
	return cleared
}

// Clear records that a response with a candidate was complete at another process at a time. It reports whether the
// candidate was convicted and is not any longer.
func (b *Blame) Clear(now, at time.Time, c Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, convicted := b.state(now, c).clear(at)
	return convicted
}

// Crashed records a crash that this process detected. It returns the strikes to report to other processes, and the
// candidates that these strikes convict.
func (b *Blame) Crashed(now time.Time, d DetectedCrash) ([]CandidateStrike, []Change) {
	reported := slices.DeleteFunc(strikesOf(b.owner, d), func(s CandidateStrike) bool {
		return !s.Strike.SentAt.After(b.completed.last(s.Candidate))
	})
	for i, s := range reported {
		reported[i].Strike.Completes = !b.completed.last(s.Candidate).IsZero()
	}
	changes := b.Apply(now, reported)
	// A crash is judged by the share of crashes before it.
	b.mu.Lock()
	b.window(now).crashed += len(d.InFlight)
	b.mu.Unlock()
	return reported, changes
}

// Apply records strikes of this or another process and returns the candidates that they convict.
func (b *Blame) Apply(now time.Time, reported []CandidateStrike) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	struck := make(map[Candidate]*state)
	for _, r := range reported {
		if now.Sub(r.Strike.LostAt) > suspicionTTL || b.isExplained(r.Candidate, r.Strike) {
			continue
		}
		s := b.state(now, r.Candidate)
		s.completedAt = latest(s.completedAt, b.completed.last(r.Candidate))
		s.completes = s.completes || r.Strike.Completes || !s.completedAt.IsZero()
		if !r.Strike.SentAt.After(s.completedAt) {
			continue
		}
		s.strike(now, r.Strike)
		if s.convicted {
			b.explain(r.Candidate, strikes{r.Strike})
			continue
		}
		struck[r.Candidate] = s
	}
	var changes []Change
	for {
		c, ok := b.culprit(now, struck)
		if !ok {
			return changes
		}
		s := struck[c]
		s.convicted = true
		delete(struck, c)
		b.explain(c, s.strikes)
		changes = append(changes, Change{
			Candidate: c,
			Crashes:   s.strikes.crashIDs(),
		})
	}
}

// culprit returns the candidate to convict, if one has enough strikes.
func (b *Blame) culprit(now time.Time, struck map[Candidate]*state) (Candidate, bool) {
	var found []Candidate
	for c, s := range struck {
		required := b.required(now, c.kind, s.completes)
		if len(s.strikes) >= required && (len(s.strikes) >= maxRivalStrikes || len(s.strikes)-b.rivalShare(s) >= required) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(found, func(x, y Candidate) int {
		return cmp.Or(compareSuspects(struck[x], struck[y]), cmp.Compare(x.sum, y.sum))
	}), true
}

// compareSuspects orders states with strikes by how likely and how cheap they are as the cause, the best one first.
func compareSuspects(s, other *state) int {
	if s.completes != other.completes {
		if other.completes {
			return -1
		}
		return 1
	}
	return cmp.Compare(other.strikes.depth(), s.strikes.depth())
}

// rivalShare returns the number of strikes that a candidate shares with its rival.
func (b *Blame) rivalShare(s *state) int {
	most := 0
	for c, other := range b.states {
		if c.kind != CandidatePart || other.convicted || len(other.strikes) < rivalStrikes || compareSuspects(other, s) >= 0 {
			continue
		}
		if n := s.strikes.shared(other.strikes); n >= rivalStrikes {
			most = max(most, n)
		}
	}
	return most
}

// explain records that a convicted candidate was in flight at crashes, which no longer count against others. A whole
// request whose conviction rests on such crashes is cleared.
func (b *Blame) explain(by Candidate, crashes strikes) {
	if len(b.explained) >= maxExplained {
		clear(b.explained)
	}
	for _, s := range crashes {
		if !b.isExplained(by, s) {
			b.explained[s.CrashID] = explanation{
				by:     by,
				strike: s,
			}
		}
	}
	for c, s := range b.states {
		if c == by || by.kind == CandidateRequest && c.kind == CandidatePart || s.convicted && c.kind == CandidatePart {
			continue
		}
		before := len(s.strikes)
		s.strikes = s.strikes.except(crashes)
		if len(s.strikes) < before {
			s.convicted = false
		}
	}
}

// isExplained reports whether a crash counts against no candidate of this kind but the one that explains it.
func (b *Blame) isExplained(c Candidate, s Strike) bool {
	e, ok := b.explained[s.CrashID]
	return ok && e.by != c && (e.by.kind == CandidatePart || c.kind == CandidateRequest) && e.strike.sameCrash(s)
}

// required returns the number of strikes that convict a candidate. If a share of all responses ends in crashes, one that
// crashes nothing collects n strikes in a row with the n-th power of that share.
func (b *Blame) required(now time.Time, kind CandidateKind, completes bool) int {
	least, most, falseBlame := minPartStrikes, maxPartStrikes, falsePartBlame
	switch {
	case kind == CandidateRequest:
		least, most, falseBlame = minRequestStrikes, maxRequestStrikes, falseRequestBlame
	case completes:
		return maxPartStrikes
	}
	w := *b.window(now)
	began := priorResponses + w.began + b.previous.began
	crashed := min(priorCrashed+w.crashed+b.previous.crashed, began-1)
	n := math.Log(falseBlame) / math.Log(float64(crashed)/float64(began))
	return max(least, int(min(float64(most), math.Ceil(n))))
}
