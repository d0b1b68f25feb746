package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/bodyend"
	"waxwingpick/core/timer"
)

const (
	// endCheckTimeout bounds the check after a response that ended with its connection. Only the end of the response waits
	// for it; callers abandon a stream after two seconds without an event at the earliest.
	endCheckTimeout = time.Second
	// endCheckDelay is the time for which the ends of a target's responses are collected for one check, as a crash ends all
	// of them.
	endCheckDelay = 10 * time.Millisecond
)

// errTargetEnded means that the incarnation of a target that sent a response has ended.
var errTargetEnded = eris.New("target has ended")

// endChecker asks targets whether they have survived the end of responses that ended with their connection.
type endChecker struct {
	process *Process

	mu sync.Mutex
	// pending holds the check of each target that is not asked yet.
	pending map[incarnation]*endCheck
}

// incarnation identifies one run of a target's process.
type incarnation struct {
	id              waxwingpick.TargetID
	addr            string
	startUnixMillis int64
}

// endCheck is one check, which serves all responses that ended before its target is asked. The result is set when done is
// closed.
type endCheck struct {
	done    chan struct{}
	verdict bodyend.Verdict
	err     error
}

func newEndChecker(p *Process) *endChecker {
	return &endChecker{
		process: p,
		pending: make(map[incarnation]*endCheck),
	}
}

// check returns the verdict on a response of a target that has just ended with its connection, and the error of asking the
// target.
func (c *endChecker) check(ctx context.Context, t waxwingpick.Target, healthPath string) (bodyend.Verdict, error) {
	shared, first := c.join(t)
	if first {
		c.process.loops.Go(func() { c.run(shared, t, healthPath) })
	}
	select {
	case <-shared.done:
		return shared.verdict, shared.err
	case <-ctx.Done():
		return bodyend.VerdictUnknown, context.Cause(ctx)
	}
}

// join returns the pending check of a target, or a new one; first reports whether the caller has to run it.
func (c *endChecker) join(t waxwingpick.Target) (shared *endCheck, first bool) {
	key := incarnationOf(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	if shared, ok := c.pending[key]; ok {
		return shared, false
	}
	shared = &endCheck{
		done: make(chan struct{}),
	}
	c.pending[key] = shared
	return shared, true
}

func incarnationOf(t waxwingpick.Target) incarnation {
	return incarnation{
		id:              t.ID,
		addr:            t.Address,
		startUnixMillis: t.StartUnixMillis,
	}
}

func (c *endChecker) run(shared *endCheck, t waxwingpick.Target, healthPath string) {
	defer close(shared.done)
	p := c.process
	timer.Sleep(p.lifecycle, p.timers, endCheckDelay)
	c.mu.Lock()
	delete(c.pending, incarnationOf(t))
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.lifecycle, endCheckTimeout)
	defer cancel()
	answer, err := p.options.Targets.Identify(ctx, t, healthPath)
	var listedStart int64
	if listed, ok := p.listed(t.ID); ok {
		listedStart = listed.StartUnixMillis
	}
	shared.verdict, shared.err = bodyend.Decide(t, listedStart, answer, err), err
}

// proveEnd returns nil if a response is complete whose body ended regularly. The body may have ended with its connection, which
// a crash closes in order too. The response is complete then if its target has survived it; otherwise it counts as lost.
func (x *exchange) proveEnd(t waxwingpick.Target, framing waxwingpick.Framing) error {
	if framing != waxwingpick.FramingConnection {
		return nil
	}
	began := x.process.timers.Now()
	verdict, err := x.process.endChecker.check(x.ctx, t, x.service.healthCheckPath())
	x.recordEndCheck(began, t, verdict, err)
	switch verdict {
	case bodyend.VerdictComplete:
		return nil
	case bodyend.VerdictBroken:
		return fmt.Errorf("%w: %w: %w", waxwingpick.ErrEngineLost, waxwingpick.ErrEndUnproven, errTargetEnded)
	case bodyend.VerdictUnknown:
	}
	if cause := context.Cause(x.ctx); cause != nil {
		return fmt.Errorf("%w: %w: %w", waxwingpick.ErrEngineLost, waxwingpick.ErrEndUnproven, cause)
	}
	// The time-out of the check is not that of the request, so its error is not wrapped.
	return fmt.Errorf("%w: %w: %s", waxwingpick.ErrEngineLost, waxwingpick.ErrEndUnproven, detail(err))
}

// detail returns the text of an error; empty if there is none.
func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// proveStreamEnd returns the error with which a stream has ended: io.EOF if it is complete.
func (x *exchange) proveStreamEnd(chosen selection, reply waxwingpick.Dispatched, end error) error {
	if !errors.Is(end, io.EOF) {
		return end
	}
	if err := x.proveEnd(chosen.target, reply.Framing); err != nil {
		return err
	}
	return io.EOF
}

// listed returns the entry of a target in the list of the platform.
func (p *Process) listed(id waxwingpick.TargetID) (waxwingpick.Target, bool) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	return p.list.Target(id)
}

// leaves reports whether a target is known to leave: by its entry, by the lack of one, or by its own statement.
func (p *Process) leaves(t waxwingpick.Target) bool {
	listed, ok := p.listed(t.ID)
	return !ok || listed.Leaving && listed.StartUnixMillis == t.StartUnixMillis || p.statements.leaves(t.ID)
}
