package legrunner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/legs"
)

// Engines returns the port to a target's engine.
type Engines func(target waxwingpick.TargetID) waxwingpick.Engine

// Runner runs requests; it is safe for concurrent use.
type Runner struct {
	timers  waxwingpick.Timers
	engines Engines
	wg      conc.WaitGroup
}

// New returns a runner over the engines.
func New(timers waxwingpick.Timers, engines Engines) *Runner {
	return &Runner{
		timers:  timers,
		engines: engines,
	}
}

// Wait waits until the late answers of all requests have come and what they hold is freed.
func (r *Runner) Wait() {
	r.wg.Wait()
}

// Run starts a request on one or two engines and returns its stream, which lives until ctx ends; it
// fails with a *waxwingpick.Refusal. The request's stream ID names the attempt.
func (r *Runner) Run(ctx context.Context, choice legs.Choice, req waxwingpick.GenerateRequest, deadline time.Time) (waxwingpick.EventStream, error) {
	a := &attempt{
		runner:  r,
		ctx:     ctx,
		machine: legs.New(choice, req.StreamID, deadline),
		req:     req,
		answers: make(chan answer),
		result:  make(chan result, 1),
	}
	r.wg.Go(a.loop)
	got := <-a.result
	if got.refusal != nil {
		return nil, fmt.Errorf("run on two engines: %w", got.refusal)
	}
	return got.stream, nil
}

// answer is an event with the stream that it opened, if any.
type answer struct {
	event  legs.Event
	stream waxwingpick.EventStream
}

type result struct {
	stream  waxwingpick.EventStream
	refusal *waxwingpick.Refusal
}

// attempt is one request under way; its loop's goroutine owns everything but answers.
type attempt struct {
	runner    *Runner
	ctx       context.Context
	machine   *legs.Machine
	req       waxwingpick.GenerateRequest
	answers   chan answer
	open      int
	result    chan result
	delivered bool
}

// loop steps the machine until the request is settled and every call is answered.
func (a *attempt) loop() {
	a.perform(a.machine.Start(a.runner.timers.Now()))
	left := a.ctx.Done()
	for a.open > 0 || !a.delivered {
		wake := a.wake()
		select {
		case got := <-a.answers:
			a.open--
			a.take(got)
		case <-wake.due:
			a.step(legs.Tick{})
		case <-left:
			left = nil
			a.step(legs.Abandoned{})
		}
		wake.stop()
	}
}

// take steps the machine with an answer; a stream that it does not want is closed.
func (a *attempt) take(got answer) {
	served := a.machine.Serving()
	a.step(got.event)
	if got.stream == nil {
		return
	}
	if !served && a.machine.Serving() {
		a.deliver(result{
			stream: got.stream,
		})
		return
	}
	got.stream.Close()
}

func (a *attempt) step(event legs.Event) {
	a.perform(a.machine.Step(a.runner.timers.Now(), event))
}

func (a *attempt) deliver(r result) {
	a.delivered = true
	a.result <- r
}

func (a *attempt) perform(actions []legs.Action) {
	for _, action := range actions {
		switch c := action.(type) {
		case legs.Prefill:
			a.call(c.Call, func() (answer, error) { return a.prefill(c) })
		case legs.Import:
			a.call(c.Call, func() (answer, error) { return a.importKV(c) })
		case legs.Generate:
			a.call(c.Call, func() (answer, error) { return a.generate(c) })
		case legs.Resume:
			a.call(c.Call, func() (answer, error) { return a.resume(c) })
		case legs.Free:
			a.free(c)
		case legs.Finish:
			a.deliver(result{
				refusal: c.Refusal,
			})
		}
	}
}

// call makes one call in a goroutine, whose answer the loop takes.
func (a *attempt) call(id legs.CallID, fn func() (answer, error)) {
	a.open++
	a.runner.wg.Go(func() {
		got, err := fn()
		if err != nil {
			got = answer{
				event: legs.Failed{
					Call:    id,
					Failure: failureOf(err),
				},
			}
		}
		a.answers <- got
	})
}

func (a *attempt) prefill(c legs.Prefill) (answer, error) {
	req := a.req
	req.StreamID = c.StreamID
	export, err := a.runner.engines(c.Target).Prefill(a.ctx, req)
	return answer{
		event: legs.Prefilled{
			Call:   c.Call,
			Export: export,
		},
	}, err
}

func (a *attempt) importKV(c legs.Import) (answer, error) {
	handle, err := a.runner.engines(c.Target).ImportKV(a.ctx, c.Export)
	return answer{
		event: legs.Imported{
			Call:   c.Call,
			Handle: handle,
		},
	}, err
}

func (a *attempt) generate(c legs.Generate) (answer, error) {
	req := a.req
	req.StreamID = c.StreamID
	req.KVHandle = c.Handle
	stream, err := a.runner.engines(c.Target).Generate(a.ctx, req)
	return opened(c.Call, stream), err
}

func (a *attempt) resume(c legs.Resume) (answer, error) {
	stream, err := a.runner.engines(c.Target).Resume(a.ctx, c.StreamID, 0)
	return opened(c.Call, stream), err
}

// free cancels in the background: the request does not wait for it, and it outlives the caller.
func (a *attempt) free(c legs.Free) {
	ctx := context.WithoutCancel(a.ctx)
	a.runner.wg.Go(func() {
		// The engine's own limit of time frees what this can't.
		_ = a.runner.engines(c.Target).Cancel(ctx, c.Name)
	})
}

func opened(id legs.CallID, stream waxwingpick.EventStream) answer {
	return answer{
		event: legs.Opened{
			Call: id,
		},
		stream: stream,
	}
}

// failureOf tells whether a failed call can have taken effect.
func failureOf(err error) legs.Failure {
	for _, notRun := range []error{
		waxwingpick.ErrEngineUnreachable,
		waxwingpick.ErrEngineRefused,
		waxwingpick.ErrStreamNotFound,
	} {
		if errors.Is(err, notRun) {
			return legs.NotRun
		}
	}
	return legs.Lost
}

// wake is the machine's next timer.
type wake struct {
	due  chan struct{}
	stop func()
}

func (a *attempt) wake() wake {
	at := a.machine.WakeAt()
	if at.IsZero() {
		return wake{
			stop: func() {},
		}
	}
	due := make(chan struct{})
	return wake{
		due: due,
		stop: a.runner.timers.After(at.Sub(a.runner.timers.Now()), func(time.Time) {
			close(due)
		}),
	}
}
