package admission

import (
	"fmt"
	"time"

	"waxwingpick"
)

const (
	microsPerSecond = 1e6
	nanosPerSecond  = 1e9
	// quickHorizon and longHorizon are the deadlines assumed by Load to predict waits.
	quickHorizon = 5 * time.Second
	longHorizon  = 2 * time.Minute
	// fairnessShares is the number of workspaces that a target is assumed to be shared by. Requests of a workspace are
	// delayed by the time that one such share of the slots needs for the workspace's outstanding requests.
	fairnessShares = 8
	// waitShare and serviceShare are the fractions of the predictions that have to fit before the deadline. Output tokens
	// are estimated above their median, and waits become shorter when requests end early or are cancelled.
	waitShare    = 0.5
	serviceShare = 0.8
	// minService is the minimum predicted service time. It prevents a start exactly at the deadline from counting as in
	// time.
	minService = time.Millisecond
)

// kind groups requests by the resources that they may use.
type kind uint8

const (
	// kindQuick groups quick requests and orders, which may use reserved blocks and slots.
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
	// pendingRefusals holds refusals of displaced jobs that Next has not returned yet.
	pendingRefusals []Decision
	free            []*job
	running         [kinds]int
	blocks          [kinds]int
	runningPrefill  [kinds]int
	queuedPrefill   [kinds]int
	queuedBlocks    int
	// lagNanos converts weighted seconds of service into the nanoseconds by which requests are delayed.
	lagNanos float64
	draining bool
}

// New returns a Controller. It fails if an option is out of range.
func New(opts ...Option) (*Controller, error) {
	s := settings{
		slots:             defaultSlots,
		queue:             defaultQueue,
		blockTokens:       defaultBlockTokens,
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

// Offer decides on a new attempt. After VerdictQueued, Next returns the attempt later.
func (c *Controller) Offer(now time.Time, req Request) Decision {
	if c.draining {
		return refused(req.ID, waxwingpick.ReasonLeaving, 0)
	}
	if _, exists := c.jobs[req.ID]; exists {
		return refused(req.ID, waxwingpick.ReasonFenced, 0)
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
		wait = c.wait(kindOf(j), j.key, j.blocks, j.prefill)
	}
	if now.Add(time.Duration(waitShare * float64(wait))).After(j.latestStart) {
		c.release(j)
		return refused(req.ID, waxwingpick.ReasonDeadline, retryAfter(wait))
	}
	if left, ok := c.allow(now, req, ws); !ok {
		c.release(j)
		return refused(req.ID, waxwingpick.ReasonRateLimit, retryAfter(left))
	}
	if !starts && !c.displace(j) {
		c.release(j)
		return refused(req.ID, waxwingpick.ReasonOverload, retryAfter(wait))
	}
	return c.accept(now, j)
}

// Next returns the next queued attempt that is to run or is refused. Call it until it returns false.
func (c *Controller) Next(now time.Time) (Decision, bool) {
	if n := len(c.pendingRefusals); n > 0 {
		d := c.pendingRefusals[n-1]
		c.pendingRefusals = c.pendingRefusals[:n-1]
		return d, true
	}
	if c.expiry.Len() == 0 {
		return Decision{}, false
	}
	if j := c.expiry.head(); c.draining || j.latestStart.Before(now) {
		return c.expire(j), true
	}
	j := c.selectNext()
	if j == nil {
		return Decision{}, false
	}
	c.dequeue(j)
	c.start(now, j)
	return run(j.request.ID), true
}

// Wake returns the time at which Next has to be called even without an event, and false if no attempt is queued.
func (c *Controller) Wake() (time.Time, bool) {
	if c.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return c.expiry.head().latestStart.Add(1), true
}

// FirstToken records that the prompt of a running attempt has been computed.
func (c *Controller) FirstToken(now time.Time, id AttemptID) {
	j, ok := c.jobs[id]
	if !ok || !j.running || !j.firstToken.IsZero() {
		return
	}
	j.firstToken = now
	c.removePrefill(j)
	c.meter.prefillDone(now, j.prefill, c.prefillIdle())
}

// Done records that a running attempt ended after a number of output tokens, which is zero if it failed.
func (c *Controller) Done(now time.Time, id AttemptID, outputTokens int) {
	j, ok := c.jobs[id]
	if !ok || !j.running {
		return
	}
	k := kindOf(j)
	if j.firstToken.IsZero() {
		c.removePrefill(j)
		c.meter.prefillDone(now, 0, c.prefillIdle())
	} else {
		c.meter.observeDecode(now.Sub(j.firstToken), outputTokens-1)
	}
	if outputTokens > 0 {
		c.recordResidence(now, j)
	}
	c.running[k]--
	c.blocks[k] -= j.blocks
	j.workspace.running[k] -= j.cost
	c.queues[k].next = nil
	c.remove(j)
}

// Cancel removes a queued attempt whose caller disconnected and reports whether it was queued. A running attempt
// remains until Done.
func (c *Controller) Cancel(id AttemptID) bool {
	j, ok := c.jobs[id]
	if !ok || j.running {
		return false
	}
	c.dequeue(j)
	c.remove(j)
	return true
}

// Drain makes the controller refuse all new and queued attempts. Running ones continue.
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

// Drained reports whether the controller is draining and holds no attempts.
func (c *Controller) Drained() bool {
	return c.draining && len(c.jobs) == 0 && len(c.pendingRefusals) == 0
}

// Set changes parameters while requests are queued and running, for a new preset or configuration. If an option is out
// of range, it changes nothing. Rates and Workspaces have no effect here, since they only apply to a new Controller.
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

// SetReserve changes the fraction of blocks and slots that long requests may not use, for a new preset.
func (c *Controller) SetReserve(fraction float64) error {
	return c.Set(Reserve(fraction))
}

// setLag adapts to the number of slots, which a limiter may change.
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

// allow applies the rate limit of the workspace, and returns the time to wait if the limit is exceeded.
func (c *Controller) allow(now time.Time, req Request, ws *workspace) (time.Duration, bool) {
	if req.Continuation {
		return 0, true
	}
	return c.workspaces.allow(now, ws)
}

func (c *Controller) startsAtOnce(j *job) bool {
	k := kindOf(j)
	return c.fits(k, j.blocks, j.prefill) && !c.blocked(k, c.virtualDeadline(j))
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
		blocks:    c.blocksFor(req),
		prefill:   prefill,
		service:   service,
		cost:      service.Seconds() / ws.weight,
	}
	j.deadline = req.Deadline.UnixNano()
	j.key = j.deadline + int64(lag)
	j.latestStart = req.Deadline.Add(-c.margin(now, req, service))
	return j
}

// blocksFor returns the memory blocks that the prompt and the complete output need.
func (c *Controller) blocksFor(req Request) int {
	if c.settings.blocks == 0 {
		return 0
	}
	tokens := req.PromptTokens + req.OutputTokens
	return max(1, (tokens+c.settings.blockTokens-1)/c.settings.blockTokens)
}

func (c *Controller) start(now time.Time, j *job) {
	k := kindOf(j)
	j.running = true
	j.started = now
	j.workspace.running[k] += j.cost
	c.queues[k].next = nil
	c.running[k]++
	c.blocks[k] += j.blocks
	if j.prefill > 0 {
		c.runningPrefill[k] += j.prefill
		c.meter.prefillStarted(now)
	}
	if c.meter.residence[k] == 0 {
		c.meter.observeResidence(k, j.service)
	}
}

func (c *Controller) expire(j *job) Decision {
	if c.draining {
		return c.refuse(j, waxwingpick.ReasonLeaving)
	}
	return c.refuse(j, waxwingpick.ReasonDeadline)
}

func (c *Controller) refuse(j *job, reason waxwingpick.Reason) Decision {
	var after time.Duration
	if reason != waxwingpick.ReasonLeaving {
		after = retryAfter(c.wait(kindOf(j), j.key, j.blocks, j.prefill))
	}
	c.dequeue(j)
	id := j.request.ID
	c.remove(j)
	return refused(id, reason, after)
}

func (c *Controller) removePrefill(j *job) {
	c.runningPrefill[kindOf(j)] -= j.prefill
}

func (c *Controller) prefillIdle() bool {
	return c.runningPrefill[kindQuick]+c.runningPrefill[kindLong] == 0
}

func (c *Controller) recordResidence(now time.Time, j *job) {
	took := now.Sub(j.started)
	c.meter.observeResidence(kindOf(j), took)
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

func (c *Controller) remove(j *job) {
	j.workspace.outstanding[kindOf(j)] -= j.cost
	delete(c.jobs, j.request.ID)
	c.release(j)
}

func (c *Controller) release(j *job) {
	*j = job{}
	c.free = append(c.free, j)
}
