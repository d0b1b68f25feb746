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
	// otherProcessRetryAfter is the retry delay for a caller that reaches another process with a new connection.
	otherProcessRetryAfter = 50 * time.Millisecond
)

// Phase is the state of a target or a process that is taken out of service.
type Phase string

// The phases of a gate.
const (
	// PhaseServing means that new work is admitted.
	PhaseServing Phase = "serving"
	// PhaseLeaving means that a drain was announced and that work is still running.
	PhaseLeaving Phase = "leaving"
	// PhaseStopping means that the process received a signal to stop and that work is still running.
	PhaseStopping Phase = "stopping"
	// PhaseDrained means that no work is running and none is admitted.
	PhaseDrained Phase = "drained"
	// PhaseCut means that a second signal interrupted the work that was still running.
	PhaseCut Phase = "cut"
)

// Gate admits work to one target or process and drains it. It is safe for concurrent use.
type Gate struct {
	moveMargin    time.Duration
	movesInFlight int
	moveRetry     time.Duration
	lameDuck      time.Duration
	end           time.Duration

	mu            sync.Mutex
	draining      bool
	drainDeadline time.Time
	stopping      bool
	stoppedAt     time.Time
	cut           bool
	running       map[string]*work
	moving        int
}

type work struct {
	id        string
	startedAt time.Time
	movable   bool
	moving    bool
	retryAt   time.Time
}

// Option configures a gate.
type Option func(*Gate) error

// WithMoves sets how long before the deadline of a drain running work starts to move, and the number of concurrent moves.
func WithMoves(margin time.Duration, inFlight int) Option {
	return func(g *Gate) error {
		if margin < 0 || inFlight < 1 {
			return eris.Errorf("moves %s before the deadline, %d concurrent: want at least 0 and 1", margin, inFlight)
		}
		g.moveMargin = margin
		g.movesInFlight = inFlight
		return nil
	}
}

// WithLameDuck sets how long a stopping process still admits work, so that its load balancer can detect that it is not
// ready.
func WithLameDuck(d time.Duration) Option {
	return func(g *Gate) error {
		if d < 0 {
			return eris.Errorf("lame duck period %s: want at least 0", d)
		}
		g.lameDuck = d
		return nil
	}
}

// WithEnd sets the time after a stop at which the process is ended even if work is running. Work that may last longer is
// refused in the second half of the lame duck period, because callers have received the stop by then.
func WithEnd(d time.Duration) Option {
	return func(g *Gate) error {
		if d < 0 {
			return eris.Errorf("end %s after a stop: want at least 0", d)
		}
		g.end = d
		return nil
	}
}

// New returns a gate in PhaseServing.
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

// Enter admits a piece of work by its unique ID, or refuses it as not run. Movable work may move to another target while
// it is running.
func (g *Gate) Enter(now time.Time, id string, movable bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.cut || g.stopping && now.Sub(g.stoppedAt) >= g.lameDuck:
		return waxwingpick.NotRun(waxwingpick.ReasonStopping, defaultRetryAfter, "the process is stopping")
	case g.draining:
		return waxwingpick.NotRun(waxwingpick.ReasonLeaving, defaultRetryAfter, "the target is draining")
	}
	if _, ok := g.running[id]; ok {
		return waxwingpick.NotRun(waxwingpick.ReasonFenced, 0, "the attempt is already running")
	}
	g.running[id] = &work{
		id:        id,
		startedAt: now,
		movable:   movable,
	}
	return nil
}

// EnterFor is Enter for work that is not movable and may last for the given duration.
func (g *Gate) EnterFor(now time.Time, id string, duration time.Duration) error {
	g.mu.Lock()
	stopping := g.stopping && g.end > 0 && now.Sub(g.stoppedAt) >= g.lameDuck/2
	tooLong := stopping && now.Add(duration).After(g.stoppedAt.Add(g.end))
	g.mu.Unlock()
	if tooLong {
		return waxwingpick.NotRun(waxwingpick.ReasonStopping, otherProcessRetryAfter, "the process may end before the work is done")
	}
	return g.Enter(now, id, false)
}

// Done removes a piece of work that has ended, successfully or not.
func (g *Gate) Done(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w, ok := g.running[id]; ok && w.moving {
		g.moving--
	}
	delete(g.running, id)
}

// StartDrain starts a drain of the target. deadline is when the instance is removed, zero if there is no deadline.
func (g *Gate) StartDrain(deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.drainDeadline = deadline
}

// CancelDrain cancels a drain and returns the target to service, unless its process is stopping.
func (g *Gate) CancelDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
	g.drainDeadline = time.Time{}
}

// Stop handles a signal to stop. The first signal drains, the second interrupts running work.
func (g *Gate) Stop(now time.Time) Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		g.cut = true
	}
	if !g.stopping {
		g.stopping = true
		g.stoppedAt = now
	}
	return g.phase(now)
}

// DrainDeadline returns the deadline of a started drain, zero if there is none.
func (g *Gate) DrainDeadline() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainDeadline
}

// Ready reports whether the load balancer should send new work.
func (g *Gate) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining && !g.stopping
}

// Phase returns the current phase.
func (g *Gate) Phase(now time.Time) Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.phase(now)
}

// Running returns the number of pieces of work that are running.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// Moves returns the IDs of the work that has to start moving now, longest running first. For each ID the caller calls
// FinishMove or Done.
func (g *Gate) Moves(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining || g.drainDeadline.IsZero() || now.Before(g.drainDeadline.Add(-g.moveMargin)) {
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

// FinishMove handles the outcome of a move. Moved work is removed. Otherwise the work continues and its move is
// retried.
func (g *Gate) FinishMove(now time.Time, id string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, found := g.running[id]
	if !found || !w.moving {
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
	case !g.draining && !g.stopping:
		return PhaseServing
	case g.stopping && (len(g.running) > 0 || g.admitsWhileStopping(now)):
		return PhaseStopping
	case len(g.running) > 0:
		return PhaseLeaving
	}
	return PhaseDrained
}

// admitsWhileStopping reports whether work is still admitted because of the lame duck period.
func (g *Gate) admitsWhileStopping(now time.Time) bool {
	return !g.draining && now.Sub(g.stoppedAt) < g.lameDuck
}

func (g *Gate) movable(now time.Time) []*work {
	var all []*work
	for _, w := range g.running {
		if w.movable && !w.moving && !now.Before(w.retryAt) {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *work) int {
		if order := a.startedAt.Compare(b.startedAt); order != 0 {
			return order
		}
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return all
}
