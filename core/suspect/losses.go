package suspect

import (
	"fmt"
	"sync"
	"time"

	"waxwingpick"
)

const (
	// lossSpan is how far apart the loss of an answer and the sight of its crashed target may be: all answers of a crashed
	// target are lost within a round trip, and it takes no connection for as long as its start takes.
	lossSpan = 2 * time.Second
	// mostLosses bounds the losses that are remembered of one target, and mostLives the targets that are.
	mostLosses = 256
	mostLives  = 4096
)

// Losses finds crashes, and the requests that were in flight at them, from what a process sees that sends requests straight
// to targets: answers that break off, and targets that take no connection.
//
// The load pattern is one request that crashes each target which runs it, among many that do no harm. A target that only
// loses answers, as sound ones do now and then, makes nothing suspect.
type Losses struct {
	mu    sync.Mutex
	lives map[string]*life
}

// life is one run of a target's process, from its start to its crash.
type life struct {
	lost []loss
	// gone is when the target was last seen to be down, seen when anything was last noted of it.
	gone time.Time
	seen time.Time
}

type loss struct {
	fingerprint Fingerprint
	at          time.Time
}

// Sighting is a crash with the requests that were in flight at it.
type Sighting struct {
	Crash    Crash
	InFlight []Fingerprint
}

// NewLosses returns losses of no target.
func NewLosses() *Losses {
	return &Losses{
		lives: make(map[string]*life),
	}
}

// Lost notes that a target's answer to a request broke off; it returns the request where that target has crashed.
func (l *Losses) Lost(now time.Time, t waxwingpick.Target, f Fingerprint) waxwingpick.Option[Sighting] {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.life(now, t)
	if !one.gone.IsZero() && now.Sub(one.gone) <= lossSpan {
		return sighting(now, t, []Fingerprint{f})
	}
	if len(one.lost) < mostLosses {
		one.lost = append(one.lost, loss{
			fingerprint: f,
			at:          now,
		})
	}
	return waxwingpick.None[Sighting]()
}

// Gone notes that a target takes no connection; it returns the requests whose answers it has just lost.
func (l *Losses) Gone(now time.Time, t waxwingpick.Target) waxwingpick.Option[Sighting] {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.life(now, t)
	one.gone = now
	var inFlight []Fingerprint
	for _, lost := range one.lost {
		if now.Sub(lost.at) <= lossSpan {
			inFlight = append(inFlight, lost.fingerprint)
		}
	}
	one.lost = nil
	if len(inFlight) == 0 {
		return waxwingpick.None[Sighting]()
	}
	return sighting(now, t, inFlight)
}

// life returns what is known of a target's present run, and forgets runs of which nothing was noted for long.
func (l *Losses) life(now time.Time, t waxwingpick.Target) *life {
	id := lifeOf(t)
	one, ok := l.lives[id]
	if !ok {
		for other, known := range l.lives {
			if now.Sub(known.seen) > lossSpan || len(l.lives) >= mostLives {
				delete(l.lives, other)
			}
		}
		one = &life{}
		l.lives[id] = one
	}
	one.seen = now
	return one
}

// lifeOf names a run of a target, the same at every process that sees it.
func lifeOf(t waxwingpick.Target) string {
	return fmt.Sprintf("%s/%d", t.ID, t.Born)
}

func sighting(now time.Time, t waxwingpick.Target, inFlight []Fingerprint) waxwingpick.Option[Sighting] {
	return waxwingpick.Some(Sighting{
		Crash: Crash{
			ID:     lifeOf(t),
			At:     now,
			Target: t.ID,
		},
		InFlight: inFlight,
	})
}
