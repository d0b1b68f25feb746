package entry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/core/classify"
	"waxwingpick/core/stream"
	"waxwingpick/core/suspect"
	"waxwingpick/core/trail"
	"waxwingpick/io/openai"
)

const (
	responseBuffer = 1 << 20
	// maxContinuedResponse is the maximum size of a response that another engine may continue, in bytes of its events.
	maxContinuedResponse = 4 << 20
	maxResumes           = 8
	maxAttempts          = 4
	maxPrefix            = 16
)

// generation is one model request in progress. Attempts write events to the assembly, and the caller reads chunks from it.
type generation struct {
	id          string
	trail       *trail.Trail
	process     *Process
	call        openai.ModelCall
	targets     *serviceTargets
	class       classify.Result
	preset      string
	started     time.Time
	fingerprint suspect.Fingerprint
	prefix      []uint64
	responseID  string
	cancel      context.CancelFunc
	// callerDisconnected reports whether the caller's request was cancelled.
	callerDisconnected func() bool
	// body is the encoded engine request until the first attempt uses it.
	body []byte

	mu       sync.Mutex
	changed  *sync.Cond
	assembly *stream.Assembly
	// transcript is the response as read by the caller, kept while another engine may have to continue it.
	transcript   openai.Transcript
	closed       bool
	target       waxwingpick.TargetID
	firstChunkAt time.Time
	chunks       int
	// promptTokens is the engine's count of prompt tokens; zero until the engine reports it.
	promptTokens int
}

func newGeneration(p *Process, call openai.ModelCall, targets *serviceTargets, class classify.Result, t *trail.Trail) (*generation, error) {
	body, err := call.Request.EngineBody(openai.Delivered{})
	if err != nil {
		return nil, err
	}
	assembly, err := stream.New(string(t.Request()),
		stream.WithBuffer(responseBuffer),
		stream.WithContinuation(maxContinuedResponse),
		stream.WithRepeatable(),
		stream.WithLimits(maxResumes, maxAttempts))
	if err != nil {
		return nil, fmt.Errorf("create response assembly: %w", err)
	}
	g := &generation{
		id:          string(t.Request()),
		trail:       t,
		process:     p,
		call:        call,
		targets:     targets,
		class:       class,
		preset:      p.preset().Name,
		started:     p.timers.Now(),
		fingerprint: suspect.Of(call.Caller.Workspace, call.Request.Path(), body),
		prefix:      classify.PrefixBlocks(nil, call.Request.Model(), []byte(call.Request.Prompt()), maxPrefix),
		responseID:  "waxwingpick-" + uuid.NewString(),
		assembly:    assembly,
		body:        body,
	}
	g.changed = sync.NewCond(&g.mu)
	return g, nil
}

// setTarget records the target of the latest attempt.
func (g *generation) setTarget(target waxwingpick.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = target
}

// accept passes one event of an attempt to the assembly, which retains data.
func (g *generation) accept(attempt string, offset int64, data []byte, last bool) stream.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	return g.assembly.Accept(attempt, offset, data, last)
}

// broken reports a broken connection of an attempt to the assembly and returns the next step.
func (g *generation) broken(attempt string, err error) stream.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	return g.assembly.HandleBreak(attempt, err)
}

// moved reports the planned move of an attempt's stream to the assembly and returns the next step.
func (g *generation) moved(attempt string) stream.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	return g.assembly.HandleMove(attempt)
}

func (g *generation) restart(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assembly.Restart(attempt)
}

// fail ends the response with a refusal unless it is complete.
func (g *generation) fail(refusal *waxwingpick.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	g.assembly.Fail(refusal)
}

// expire fails the request at its deadline.
func (g *generation) expire(time.Time) {
	g.fail(waxwingpick.Unknown(waxwingpick.ReasonDeadline, "deadline passed before the response was complete"))
	g.cancel()
}

// delivered returns the part of the response that the caller has read or will read from the attempts so far.
func (g *generation) delivered() openai.Delivered {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.transcript.Clone()
	for _, data := range g.assembly.Buffered() {
		if chunk, err := openai.ParseChunk(data); err == nil {
			all.Add(chunk)
		}
	}
	return all.Delivered()
}

// hasOutput reports whether any event of the response has been accepted.
func (g *generation) hasOutput() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.assembly.Started()
}

// waitForFirstEvent returns once the first event is available or the request has ended.
func (g *generation) waitForFirstEvent() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		if g.assembly.Started() {
			return nil
		}
		ended, refusal := g.assembly.Finished()
		if refusal != nil {
			return refusal
		}
		if ended {
			return nil
		}
		g.changed.Wait()
	}
}

// Next returns the next chunk of the response, or io.EOF after its regular end.
func (g *generation) Next() (openai.Chunk, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		if data, ok := g.assembly.Take(); ok {
			return g.rewriteChunk(data)
		}
		ended, refusal := g.assembly.Finished()
		if refusal != nil {
			return openai.Chunk{}, refusal
		}
		if ended {
			return openai.Chunk{}, io.EOF
		}
		g.changed.Wait()
	}
}

// rewriteChunk parses a chunk and sets the ID and creation time of the response, which are the same for every engine.
// The caller must hold g.mu.
func (g *generation) rewriteChunk(data []byte) (openai.Chunk, error) {
	c, err := openai.ParseChunk(data)
	if err != nil {
		return c, fmt.Errorf("parse engine chunk: %w", err)
	}
	g.updateTranscript(c)
	c.ID = g.responseID
	c.Created = g.started.Unix()
	if g.chunks == 0 {
		g.firstChunkAt = g.process.timers.Now()
	}
	g.chunks++
	if n, ok := c.PromptTokens(); ok {
		g.promptTokens = n
	}
	return c, nil
}

// updateTranscript appends a chunk read by the caller, or frees the transcript once the response can no longer be
// continued by another engine. The caller must hold g.mu.
func (g *generation) updateTranscript(c openai.Chunk) {
	if !g.assembly.Continuable() {
		g.transcript = openai.Transcript{}
		return
	}
	g.transcript.Add(c)
}

// Close ends the request, even if the caller disconnected early. An attempt whose response is complete is not cancelled,
// so that its connection can be reused.
func (g *generation) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	ended, refusal := g.assembly.Finished()
	complete := ended && refusal == nil
	if g.callerDisconnected() {
		refusal = nil
	}
	if !complete {
		g.cancel()
	}
	g.process.recordGeneration(g, completion{
		complete:     complete,
		refusal:      refusal,
		chunks:       g.chunks,
		promptTokens: g.promptTokens,
		firstChunkAt: g.firstChunkAt,
		target:       g.target,
	})
}
