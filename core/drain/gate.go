package drain

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	defaultMoveMargin    = time.Minute
	defaultMovesInFlight = 4
	defaultMoveRetry     = 5 * time.Second
	defaultRetryAfter    = time.Second
	// elsewhereRetryAfter is when to come back to another process, which a new connection leads to.
	elsewhereRetryAfter = 50 * time.Millisecond
)

// Phase is how far a target or a process is out of service.
type Phase string

// The phases of a gate.
const (
	// PhaseServing says that new work is admitted.
	PhaseServing Phase = "serving"
	// PhaseLeaving says that a leave was announced and work still runs.
	PhaseLeaving Phase = "leaving"
	// PhaseStopping says that the process was told to stop and work still runs.
	PhaseStopping Phase = "stopping"
	// PhaseDrained says that no work runs and none is admitted.
	PhaseDrained Phase = "drained"
	// PhaseCut says that a second signal cut what still ran.
	PhaseCut Phase = "cut"
)

// Gate admits work to one target or process and drains it; it is safe for concurrent use.
type Gate struct {
	moveMargin    time.Duration
	movesInFlight int
	moveRetry     time.Duration
	lameDuck      time.Duration
	end           time.Duration

	mu       sync.Mutex
	leaving  bool
	by       time.Time
	stopping bool
	stopped  time.Time
	cut      bool
	running  map[string]*work
	moving   int
}

type work struct {
	id      string
	started time.Time
	movable bool
	moving  bool
	retryAt time.Time
}

// Option changes a gate.
type Option func(*Gate) error

// WithMoves sets how long before the date of a leave running work starts to move, and how many moves run at once.
func WithMoves(margin time.Duration, inFlight int) Option {
	return func(g *Gate) error {
		if margin < 0 || inFlight < 1 {
			return eris.Errorf("moves %s before the date, %d at once: want at least 0 and 1", margin, inFlight)
		}
		g.moveMargin = margin
		g.movesInFlight = inFlight
		return nil
	}
}

// WithLameDuck sets how long a stopping process still admits work, until its balancer has seen that it is not ready.
func WithLameDuck(d time.Duration) Option {
	return func(g *Gate) error {
		if d < 0 {
			return eris.Errorf("lame duck period %s: want at least 0", d)
		}
		g.lameDuck = d
		return nil
	}
}

// WithEnd sets how long after its stop a process is ended whatever runs, so that work which may last longer is refused in
// the second half of the lame duck period; callers have had the time to hear of the stop by then.
func WithEnd(d time.Duration) Option {
	return func(g *Gate) error {
		if d < 0 {
			return eris.Errorf("end %s after a stop: want at least 0", d)
		}
		g.end = d
		return nil
	}
}

// New returns a gate that serves.
func New(opts ...Option) (*Gate, error) {
	g := &Gate{
		moveMargin:    defaultMoveMargin,
		movesInFlight: defaultMovesInFlight,
		moveRetry:     defaultMoveRetry,
		running:       make(map[string]*work),
	}
	for _, opt := range opts {
		if err := opt(g); err != nil {
			return nil, fmt.Errorf("gate option: %w", err)
		}
	}
	return g, nil
}

// Enter admits a piece of work by its unique ID, or refuses it as not run; movable work may be moved elsewhere while it runs.
func (g *Gate) Enter(now time.Time, id string, movable bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.cut || g.stopping && now.Sub(g.stopped) >= g.lameDuck:
		return waxwingpick.NotRun(waxwingpick.ReasonStopping, defaultRetryAfter, "the process stops")
	case g.leaving:
		return waxwingpick.NotRun(waxwingpick.ReasonLeaving, defaultRetryAfter, "the target leaves")
	}
	if _, ok := g.running[id]; ok {
		return waxwingpick.NotRun(waxwingpick.ReasonBarred, 0, "the attempt runs already")
	}
	g.running[id] = &work{
		id:      id,
		started: now,
		movable: movable,
	}
	return nil
}

// EnterFor is Enter for work that is not movable and may last as long as given.
func (g *Gate) EnterFor(now time.Time, id string, lasts time.Duration) error {
	g.mu.Lock()
	stopping := g.stopping && g.end > 0 && now.Sub(g.stopped) >= g.lameDuck/2
	tooLong := stopping && now.Add(lasts).After(g.stopped.Add(g.end))
	g.mu.Unlock()
	if tooLong {
		return waxwingpick.NotRun(waxwingpick.ReasonStopping, elsewhereRetryAfter, "the process may end before the work does")
	}
	return g.Enter(now, id, false)
}

// Leave lets a piece of work out that ended, whichever way.
func (g *Gate) Leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w, ok := g.running[id]; ok && w.moving {
		g.moving--
	}
	delete(g.running, id)
}

// Announce starts a leave; by is the date when the instance is withdrawn, zero where none is set.
func (g *Gate) Announce(by time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.by = by
}

// Withdraw ends a leave and returns the target to service, unless its process stops.
func (g *Gate) Withdraw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = false
	g.by = time.Time{}
}

// Stop takes a signal to stop: the first drains, a second cuts.
func (g *Gate) Stop(now time.Time) Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		g.cut = true
	}
	if !g.stopping {
		g.stopping = true
		g.stopped = now
	}
	return g.phase(now)
}

// By returns the date of an announced leave; zero where none is set.
func (g *Gate) By() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.by
}

// Ready reports whether the balancer should send new work.
func (g *Gate) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leaving && !g.stopping
}

// Phase returns how far the target or process is out of service.
func (g *Gate) Phase(now time.Time) Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.phase(now)
}

// Running returns the number of pieces of work that run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// Moves returns the IDs of work that has to start to move now, longest running first; each is answered by Moved or Leave.
func (g *Gate) Moves(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leaving || g.by.IsZero() || now.Before(g.by.Add(-g.moveMargin)) {
		return nil
	}
	var ids []string
	for _, w := range g.movable(now) {
		if g.moving >= g.movesInFlight {
			break
		}
		w.moving = true
		g.moving++
		ids = append(ids, w.id)
	}
	return ids
}

// Moved takes the outcome of a move: moved work has left, other work goes on here and is tried again.
func (g *Gate) Moved(now time.Time, id string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, known := g.running[id]
	if !known || !w.moving {
		return
	}
	w.moving = false
	g.moving--
	if ok {
		delete(g.running, id)
		return
	}
	w.retryAt = now.Add(g.moveRetry)
}

func (g *Gate) phase(now time.Time) Phase {
	switch {
	case g.cut:
		return PhaseCut
	case !g.leaving && !g.stopping:
		return PhaseServing
	case g.stopping && (len(g.running) > 0 || g.admitsWhileStopping(now)):
		return PhaseStopping
	case len(g.running) > 0:
		return PhaseLeaving
	}
	return PhaseDrained
}

// admitsWhileStopping reports whether the lame duck period still lets work in.
func (g *Gate) admitsWhileStopping(now time.Time) bool {
	return !g.leaving && now.Sub(g.stopped) < g.lameDuck
}

func (g *Gate) movable(now time.Time) []*work {
	var all []*work
	for _, w := range g.running {
		if w.movable && !w.moving && !now.Before(w.retryAt) {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *work) int {
		if order := a.started.Compare(b.started); order != 0 {
			return order
		}
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return all
}
