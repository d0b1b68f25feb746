package admission

import (
	"fmt"
	"time"

	"waxwingpick"
)

const (
	microsPerSecond = 1e6
	nanosPerSecond  = 1e9
	// quickHorizon and longHorizon are the deadlines for which Load predicts the waits.
	quickHorizon = 5 * time.Second
	longHorizon  = 2 * time.Minute
	// fairnessShares is the number of workspaces that a target is taken to be shared by: a workspace's requests are
	// put back by the time that one such share of the slots takes to serve what the workspace has there already.
	fairnessShares = 8
	// waitShare and serviceShare are the parts of the predictions that have to fit before the deadline: output
	// tokens are estimated above their median, and waits shrink when requests end early or are given up.
	waitShare    = 0.5
	serviceShare = 0.8
	// minService is the least predicted service time, so that no deadline counts as met by a start at it.
	minService = time.Millisecond
)

// kind divides requests by the resources that they may take.
type kind uint8

const (
	// kindQuick holds quick requests and orders, which may take reserved pieces and slots.
	kindQuick kind = iota
	kindLong
	kinds
)

func kindOf(j *job) kind {
	return kindOfClass(j.request.Class)
}

func kindOfClass(class waxwingpick.Class) kind {
	if class == waxwingpick.ClassLong {
		return kindLong
	}
	return kindQuick
}

// Controller admits requests to one target.
type Controller struct {
	settings   settings
	workspaces *workspaces
	meter      meter
	jobs       map[AttemptID]*job
	queues     [kinds]jobList
	expiry     expiryHeap
	// given holds refusals of jobs that were displaced and not yet yielded by Next.
	given          []Decision
	free           []*job
	running        [kinds]int
	pieces         [kinds]int
	runningPrefill [kinds]int
	queuedPrefill  [kinds]int
	queuedPieces   int
	// lagNanos turns weighted seconds of service into the nanoseconds by which requests are put back.
	lagNanos float64
	draining bool
}

// New returns a controller; it fails when an option is out of its bounds.
func New(opts ...Option) (*Controller, error) {
	s := settings{
		slots:             defaultSlots,
		queue:             defaultQueue,
		pieceTokens:       defaultPieceTokens,
		reserve:           defaultReserve,
		longPrefillTokens: defaultLongPrefillTokens,
		prefillRate:       defaultPrefillRate,
		tokenInterval:     defaultTokenInterval,
		workspaces:        defaultWorkspaces,
		rateBurst:         1,
	}
	for _, opt := range opts {
		if err := opt(&s); err != nil {
			return nil, fmt.Errorf("admission option: %w", err)
		}
	}
	w, err := newWorkspaces(s)
	if err != nil {
		return nil, fmt.Errorf("admission workspaces: %w", err)
	}
	return &Controller{
		settings:   s,
		workspaces: w,
		meter:      newMeter(s.prefillRate, s.tokenInterval.Seconds()),
		jobs:       make(map[AttemptID]*job),
	}, nil
}

// Offer decides on a new attempt; after VerdictQueued the attempt comes out of Next.
func (c *Controller) Offer(now time.Time, req Request) Decision {
	if c.draining {
		return refused(req.ID, waxwingpick.ReasonLeaving, 0)
	}
	if _, known := c.jobs[req.ID]; known {
		return refused(req.ID, waxwingpick.ReasonBarred, 0)
	}
	ws := c.workspaces.get(req.Workspace)
	j := c.newJob(now, req, ws)
	if c.exceedsMemory(j) {
		c.release(j)
		return refused(req.ID, waxwingpick.ReasonOverload, 0)
	}
	starts := c.startsAtOnce(j)
	var wait time.Duration
	if !starts {
		wait = c.wait(kindOf(j), j.key, j.pieces, j.prefill)
	}
	if now.Add(time.Duration(waitShare * float64(wait))).After(j.latest) {
		c.release(j)
		return refused(req.ID, waxwingpick.ReasonDeadline, retryAfter(wait))
	}
	if left, ok := c.allow(now, req, ws); !ok {
		c.release(j)
		return refused(req.ID, waxwingpick.ReasonRateLimit, retryAfter(left))
	}
	if !starts && !c.makeRoom(j) {
		c.release(j)
		return refused(req.ID, waxwingpick.ReasonOverload, retryAfter(wait))
	}
	return c.accept(now, j)
}

// Next yields the next queued attempt that is to run or is refused; it is called until it returns false.
func (c *Controller) Next(now time.Time) (Decision, bool) {
	if n := len(c.given); n > 0 {
		d := c.given[n-1]
		c.given = c.given[:n-1]
		return d, true
	}
	if c.expiry.Len() == 0 {
		return Decision{}, false
	}
	if j := c.expiry.head(); c.draining || j.latest.Before(now) {
		return c.expire(j), true
	}
	j := c.pick()
	if j == nil {
		return Decision{}, false
	}
	c.dequeue(j)
	c.start(now, j)
	return run(j.request.ID), true
}

// Wake returns when Next has to be called again though no event came, and false where nothing waits.
func (c *Controller) Wake() (time.Time, bool) {
	if c.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return c.expiry.head().latest.Add(1), true
}

// FirstToken says that a running attempt's prompt has been computed.
func (c *Controller) FirstToken(now time.Time, id AttemptID) {
	j, ok := c.jobs[id]
	if !ok || !j.running || !j.firstToken.IsZero() {
		return
	}
	j.firstToken = now
	c.prefillLeft(j)
	c.meter.prefillDone(now, j.prefill, c.prefillIdle())
}

// Done says that a running attempt ended after a number of output tokens, zero where it failed.
func (c *Controller) Done(now time.Time, id AttemptID, outputTokens int) {
	j, ok := c.jobs[id]
	if !ok || !j.running {
		return
	}
	k := kindOf(j)
	if j.firstToken.IsZero() {
		c.prefillLeft(j)
		c.meter.prefillDone(now, 0, c.prefillIdle())
	} else {
		c.meter.decoded(now.Sub(j.firstToken), outputTokens-1)
	}
	if outputTokens > 0 {
		c.learnResidence(now, j)
	}
	c.running[k]--
	c.pieces[k] -= j.pieces
	j.workspace.running[k] -= j.cost
	c.queues[k].next = nil
	c.forget(j)
}

// Cancel drops a waiting attempt whose caller left and reports whether it was waiting; a running one stays until Done.
func (c *Controller) Cancel(id AttemptID) bool {
	j, ok := c.jobs[id]
	if !ok || j.running {
		return false
	}
	c.dequeue(j)
	c.forget(j)
	return true
}

// Drain refuses all new and waiting attempts from now on; running ones go on.
func (c *Controller) Drain() {
	c.draining = true
}

// Resume ends a drain.
func (c *Controller) Resume() {
	c.draining = false
}

// Draining reports whether new attempts are refused.
func (c *Controller) Draining() bool {
	return c.draining
}

// Drained reports whether a draining controller holds no attempt any more.
func (c *Controller) Drained() bool {
	return c.draining && len(c.jobs) == 0 && len(c.given) == 0
}

// Set changes parameters while requests wait and run, as a preset switch or a new configuration does; it changes
// none where one is out of its bounds. Rates start the measurement only, so they have no effect here, and neither
// has the number of workspaces.
func (c *Controller) Set(opts ...Option) error {
	s := c.settings
	for _, opt := range opts {
		if err := opt(&s); err != nil {
			return fmt.Errorf("admission option: %w", err)
		}
	}
	c.settings = s
	c.workspaces.set(s)
	return nil
}

// SetReserve changes the fraction of pieces and slots that long requests may not take, as a preset switch does.
func (c *Controller) SetReserve(fraction float64) error {
	return c.Set(Reserve(fraction))
}

// setLag follows the number of slots, which a limiter changes.
func (c *Controller) setLag() {
	c.lagNanos = fairnessShares / float64(c.slots()) * nanosPerSecond
}

func (c *Controller) accept(now time.Time, j *job) Decision {
	c.jobs[j.request.ID] = j
	j.workspace.outstanding[kindOf(j)] += j.cost
	if c.startsAtOnce(j) {
		c.start(now, j)
		return run(j.request.ID)
	}
	c.enqueue(j)
	return Decision{
		ID:      j.request.ID,
		Verdict: VerdictQueued,
	}
}

// allow takes a new request from its workspace's rate, or returns how long it has to wait.
func (c *Controller) allow(now time.Time, req Request, ws *workspace) (time.Duration, bool) {
	if req.Begun {
		return 0, true
	}
	return c.workspaces.allow(now, ws)
}

func (c *Controller) startsAtOnce(j *job) bool {
	k := kindOf(j)
	return c.fits(k, j.pieces, j.prefill) && !c.blocked(k, c.turn(j))
}

func (c *Controller) newJob(now time.Time, req Request, ws *workspace) *job {
	j := c.allocate()
	prefill := max(0, req.PromptTokens-req.CachedTokens)
	service := max(minService, c.service(req, prefill))
	c.setLag()
	lag := ws.outstanding[kindOfClass(req.Class)] * c.lagNanos
	*j = job{
		request:   req,
		workspace: ws,
		pieces:    c.piecesFor(req),
		prefill:   prefill,
		service:   service,
		cost:      service.Seconds() / ws.weight,
	}
	j.due = req.Deadline.UnixNano()
	j.key = j.due + int64(lag)
	j.latest = req.Deadline.Add(-c.margin(now, req, service))
	return j
}

// piecesFor returns the memory pieces that the prompt and the whole output take.
func (c *Controller) piecesFor(req Request) int {
	if c.settings.pieces == 0 {
		return 0
	}
	tokens := req.PromptTokens + req.OutputTokens
	return max(1, (tokens+c.settings.pieceTokens-1)/c.settings.pieceTokens)
}

func (c *Controller) start(now time.Time, j *job) {
	k := kindOf(j)
	j.running = true
	j.started = now
	j.workspace.running[k] += j.cost
	c.queues[k].next = nil
	c.running[k]++
	c.pieces[k] += j.pieces
	if j.prefill > 0 {
		c.runningPrefill[k] += j.prefill
		c.meter.prefillStarted(now)
	}
	if c.meter.residence[k] == 0 {
		c.meter.resided(k, j.service)
	}
}

func (c *Controller) expire(j *job) Decision {
	if c.draining {
		return c.giveUp(j, waxwingpick.ReasonLeaving)
	}
	return c.giveUp(j, waxwingpick.ReasonDeadline)
}

func (c *Controller) giveUp(j *job, reason waxwingpick.Reason) Decision {
	var after time.Duration
	if reason != waxwingpick.ReasonLeaving {
		after = retryAfter(c.wait(kindOf(j), j.key, j.pieces, j.prefill))
	}
	c.dequeue(j)
	id := j.request.ID
	c.forget(j)
	return refused(id, reason, after)
}

func (c *Controller) prefillLeft(j *job) {
	c.runningPrefill[kindOf(j)] -= j.prefill
}

func (c *Controller) prefillIdle() bool {
	return c.runningPrefill[kindQuick]+c.runningPrefill[kindLong] == 0
}

func (c *Controller) learnResidence(now time.Time, j *job) {
	took := now.Sub(j.started)
	c.meter.resided(kindOf(j), took)
	if c.settings.limiter != nil {
		c.settings.limiter.Observe(took, c.runningTotal())
	}
}

func (c *Controller) allocate() *job {
	if n := len(c.free); n > 0 {
		j := c.free[n-1]
		c.free = c.free[:n-1]
		return j
	}
	return &job{}
}

func (c *Controller) forget(j *job) {
	j.workspace.outstanding[kindOf(j)] -= j.cost
	delete(c.jobs, j.request.ID)
	c.release(j)
}

func (c *Controller) release(j *job) {
	*j = job{}
	c.free = append(c.free, j)
}
