package stagerunner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/stages"
)

// Engines returns the engine of a target.
type Engines func(target waxwingpick.TargetID) waxwingpick.Engine

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	timers  waxwingpick.Timers
	engines Engines
	wg      conc.WaitGroup
}

// New returns a runner that uses the engines.
func New(timers waxwingpick.Timers, engines Engines) *Runner {
	return &Runner{
		timers:  timers,
		engines: engines,
	}
}

// Wait waits until the late results of all requests have arrived and their resources have been freed.
func (r *Runner) Wait() {
	r.wg.Wait()
}

// Run starts a request on one or two engines and returns its stream, which is valid until ctx ends. Its errors wrap a
// *waxwingpick.Refusal. The request's stream ID is the ID of the attempt.
func (r *Runner) Run(ctx context.Context, choice stages.Choice, req waxwingpick.GenerateRequest, deadline time.Time) (waxwingpick.EventStream, error) {
	a := &attempt{
		runner:      r,
		ctx:         ctx,
		machine:     stages.New(choice, req.StreamID, deadline),
		req:         req,
		callResults: make(chan callResult),
		result:      make(chan result, 1),
	}
	r.wg.Go(a.loop)
	res := <-a.result
	if res.refusal != nil {
		return nil, fmt.Errorf("run on two engines: %w", res.refusal)
	}
	return res.stream, nil
}

// callResult is the event of a finished call, with the stream that the call opened, if any.
type callResult struct {
	event  stages.Event
	stream waxwingpick.EventStream
}

type result struct {
	stream  waxwingpick.EventStream
	refusal *waxwingpick.Refusal
}

// attempt is one request in progress. All fields except callResults are owned by the goroutine of loop.
type attempt struct {
	runner      *Runner
	ctx         context.Context
	machine     *stages.Machine
	req         waxwingpick.GenerateRequest
	callResults chan callResult
	openCalls   int
	result      chan result
	delivered   bool
}

// loop steps the machine until the request has a result and every call has ended.
func (a *attempt) loop() {
	a.perform(a.machine.Start(a.runner.timers.Now()))
	cancelled := a.ctx.Done()
	for a.openCalls > 0 || !a.delivered {
		timer := a.nextWake()
		select {
		case res := <-a.callResults:
			a.openCalls--
			// A call that fails because the caller disconnected must not look like a lost one, after which the request is sent to
			// another engine.
			if cancelled != nil && a.ctx.Err() != nil {
				cancelled = nil
				a.step(stages.Abandoned{})
			}
			a.handleResult(res)
		case <-timer.due:
			a.step(stages.Tick{})
		case <-cancelled:
			cancelled = nil
			a.step(stages.Abandoned{})
		}
		timer.stop()
	}
}

// handleResult steps the machine with the result of a call, and closes a stream that the machine does not use.
func (a *attempt) handleResult(res callResult) {
	wasServing := a.machine.Serving()
	a.step(res.event)
	if res.stream == nil {
		return
	}
	if !wasServing && a.machine.Serving() {
		a.deliver(result{
			stream: res.stream,
		})
		return
	}
	res.stream.Close()
}

func (a *attempt) step(event stages.Event) {
	a.perform(a.machine.Step(a.runner.timers.Now(), event))
}

func (a *attempt) deliver(r result) {
	a.delivered = true
	a.result <- r
}

func (a *attempt) perform(actions []stages.Action) {
	for _, action := range actions {
		switch c := action.(type) {
		case stages.Prefill:
			a.call(c.Call, func() (callResult, error) { return a.prefill(c) })
		case stages.Import:
			a.call(c.Call, func() (callResult, error) { return a.importKV(c) })
		case stages.Generate:
			a.call(c.Call, func() (callResult, error) { return a.generate(c) })
		case stages.Resume:
			a.call(c.Call, func() (callResult, error) { return a.resume(c) })
		case stages.Free:
			a.free(c)
		case stages.Finish:
			a.deliver(result{
				refusal: c.Refusal,
			})
		}
	}
}

// call makes one call in a goroutine and sends its result to the loop.
func (a *attempt) call(id stages.CallID, fn func() (callResult, error)) {
	a.openCalls++
	a.runner.wg.Go(func() {
		res, err := fn()
		if err != nil {
			res = callResult{
				event: stages.Failed{
					Call:    id,
					Failure: failureOf(err),
				},
			}
		}
		a.callResults <- res
	})
}

func (a *attempt) prefill(c stages.Prefill) (callResult, error) {
	req := a.req
	req.StreamID = c.StreamID
	export, err := a.runner.engines(c.Target).Prefill(a.ctx, req)
	return callResult{
		event: stages.Prefilled{
			Call:   c.Call,
			Export: export,
		},
	}, err
}

func (a *attempt) importKV(c stages.Import) (callResult, error) {
	handle, err := a.runner.engines(c.Target).ImportKV(a.ctx, c.Export)
	return callResult{
		event: stages.Imported{
			Call:   c.Call,
			Handle: handle,
		},
	}, err
}

func (a *attempt) generate(c stages.Generate) (callResult, error) {
	req := a.req
	req.StreamID = c.StreamID
	req.KVHandle = c.Handle
	stream, err := a.runner.engines(c.Target).Generate(a.ctx, req)
	return streamOpened(c.Call, stream), err
}

func (a *attempt) resume(c stages.Resume) (callResult, error) {
	stream, err := a.runner.engines(c.Target).Resume(a.ctx, c.StreamID, 0)
	return streamOpened(c.Call, stream), err
}

// free cancels in the background. The request does not wait for it, and it continues after ctx has ended.
func (a *attempt) free(c stages.Free) {
	ctx := context.WithoutCancel(a.ctx)
	a.runner.wg.Go(func() {
		// If the call fails, the engine frees the resources after its time limit.
		_ = a.runner.engines(c.Target).Cancel(ctx, c.Name)
	})
}

func streamOpened(id stages.CallID, stream waxwingpick.EventStream) callResult {
	return callResult{
		event: stages.Opened{
			Call: id,
		},
		stream: stream,
	}
}

// failureOf returns whether a failed call may have taken effect.
func failureOf(err error) stages.Failure {
	for _, notRun := range []error{
		waxwingpick.ErrEngineUnreachable,
		waxwingpick.ErrEngineRefused,
		waxwingpick.ErrStreamNotFound,
	} {
		if errors.Is(err, notRun) {
			return stages.NotRun
		}
	}
	return stages.Lost
}

// wakeTimer is the timer for the machine's next wake-up.
type wakeTimer struct {
	due  chan struct{}
	stop func()
}

func (a *attempt) nextWake() wakeTimer {
	at := a.machine.WakeAt()
	if at.IsZero() {
		return wakeTimer{
			stop: func() {},
		}
	}
	due := make(chan struct{})
	return wakeTimer{
		due: due,
		stop: a.runner.timers.After(at.Sub(a.runner.timers.Now()), func(time.Time) {
			close(due)
		}),
	}
}
