package suspect

import (
	"fmt"
	"sync"
	"time"

	"waxwingpick"
)

const (
	// lossWindow is the maximum time between the loss of a response and the detection of its target's crash. All responses
	// of a crashed target are lost within a round trip, and the target accepts no connection until it has started again.
	lossWindow = 2 * time.Second
	// maxLosses is the maximum number of recorded losses of one target, and maxIncarnations that of recorded targets.
	maxLosses       = 256
	maxIncarnations = 4096
)

// Losses detects crashes, and the requests in flight at them, in a process that sends requests directly to targets. It
// uses responses that break off and targets that accept no connection.
//
// The expected load is one request that crashes each target that runs it, among many harmless ones. A target that only
// loses responses, as healthy ones occasionally do, makes no request suspect.
type Losses struct {
	mu           sync.Mutex
	incarnations map[string]*incarnation
}

// incarnation is one run of a target's process, from its start to its crash.
type incarnation struct {
	lost []Flight
	// downAt is when the target was last found to be down, updatedAt when anything was last recorded of it.
	downAt    time.Time
	updatedAt time.Time
	// crashes counts the runs of the target that have ended under this ID.
	crashes int
	// detected means that the last of them was detected before.
	detected bool
}

// Flight is a request in flight at a target.
type Flight struct {
	ID          waxwingpick.RequestID
	Fingerprint Fingerprint
	// Parts are the IDs of the parts of its prompt, in order.
	Parts []string
	// Candidates are what its crash may be attributed to.
	Candidates []Candidate
	SentAt     time.Time
	// BeganAt is when the response began; none if it had not begun.
	BeganAt waxwingpick.Option[time.Time]
	// LostAt is when the response broke off, as Losses records it.
	LostAt time.Time
}

// DetectedCrash is a detected crash with the requests that were in flight at it.
type DetectedCrash struct {
	Crash    Crash
	InFlight []Flight
	// First means that this process detects the crash for the first time. It may find further requests in flight later.
	First bool
}

// NewLosses returns a Losses without records.
func NewLosses() *Losses {
	return &Losses{
		incarnations: make(map[string]*incarnation),
	}
}

// ResponseLost records that a target's response to a request broke off. It returns the request if that target has
// crashed.
func (l *Losses) ResponseLost(now time.Time, t waxwingpick.Target, f Flight) waxwingpick.Option[DetectedCrash] {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.LostAt = now
	current := l.incarnation(now, t)
	if !current.downAt.IsZero() && f.SentAt.After(current.downAt) {
		// The target had started again.
		current.downAt = time.Time{}
		current.crashes++
		current.detected = false
	}
	if !current.downAt.IsZero() && now.Sub(current.downAt) <= lossWindow {
		return current.sighting(now, t, []Flight{f})
	}
	if len(current.lost) < maxLosses {
		current.lost = append(current.lost, f)
	}
	return waxwingpick.None[DetectedCrash]()
}

// TargetDown records that a target accepts no connection. It returns the requests whose responses were lost within
// lossWindow.
func (l *Losses) TargetDown(now time.Time, t waxwingpick.Target) waxwingpick.Option[DetectedCrash] {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.incarnation(now, t)
	current.downAt = now
	var inFlight []Flight
	for _, lost := range current.lost {
		if now.Sub(lost.LostAt) <= lossWindow {
			inFlight = append(inFlight, lost)
		}
	}
	current.lost = nil
	if len(inFlight) == 0 {
		return waxwingpick.None[DetectedCrash]()
	}
	return current.sighting(now, t, inFlight)
}

// incarnation returns the record of a target's current run, and removes records that were not updated within lossWindow.
func (l *Losses) incarnation(now time.Time, t waxwingpick.Target) *incarnation {
	id := incarnationID(t)
	current, ok := l.incarnations[id]
	if !ok {
		for otherID, other := range l.incarnations {
			if now.Sub(other.updatedAt) > lossWindow || len(l.incarnations) >= maxIncarnations {
				delete(l.incarnations, otherID)
			}
		}
		current = &incarnation{}
		l.incarnations[id] = current
	}
	current.updatedAt = now
	return current
}

// incarnationID identifies a run of a target, equally in every process.
func incarnationID(t waxwingpick.Target) string {
	return fmt.Sprintf("%s/%d", t.ID, t.StartUnixMillis)
}

func (i *incarnation) sighting(now time.Time, t waxwingpick.Target, inFlight []Flight) waxwingpick.Option[DetectedCrash] {
	first := !i.detected
	i.detected = true
	return waxwingpick.Some(DetectedCrash{
		Crash: Crash{
			ID:     incarnationID(t),
			At:     now,
			Target: t.ID,
			Number: i.crashes,
		},
		InFlight: inFlight,
		First:    first,
	})
}
