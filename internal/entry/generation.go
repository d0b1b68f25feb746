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
	answerBuffer = 1 << 20
	// continuedAnswer bounds the answers that another engine may continue, in bytes of their events.
	continuedAnswer = 4 << 20
	maxResumes      = 8
	maxAttempts     = 4
	maxPrefix       = 16
)

// generation is one model request on its way to a whole answer: attempts feed
// the assembly, and the caller's reader takes chunks from it.
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
	answerID    string
	cancel      context.CancelFunc
	// left reports whether the caller has left.
	left func() bool
	// body is the engine's request until the first attempt takes it.
	body []byte

	mu       sync.Mutex
	changed  *sync.Cond
	assembly *stream.Assembly
	// taken is what the caller took, for as long as another engine may have to continue it.
	taken  openai.Transcript
	closed bool
	target waxwingpick.TargetID
	first  time.Time
	chunks int
	// promptTokens is what the engine counted; zero until it says so.
	promptTokens int
}

func newGeneration(p *Process, call openai.ModelCall, targets *serviceTargets, class classify.Result, t *trail.Trail) (*generation, error) {
	body, err := call.Request.EngineBody(openai.Delivered{})
	if err != nil {
		return nil, err
	}
	assembly, err := stream.New(string(t.Request()),
		stream.WithBuffer(answerBuffer),
		stream.WithContinuation(continuedAnswer),
		stream.WithRepeatable(),
		stream.WithTries(maxResumes, maxAttempts))
	if err != nil {
		return nil, fmt.Errorf("create answer: %w", err)
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
		answerID:    "waxwingpick-" + uuid.NewString(),
		assembly:    assembly,
		body:        body,
	}
	g.changed = sync.NewCond(&g.mu)
	return g, nil
}

// sentTo notes the target of the newest attempt.
func (g *generation) sentTo(target waxwingpick.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = target
}

// accept takes one event of an attempt and keeps its data.
func (g *generation) accept(attempt string, offset int64, data []byte, last bool) stream.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	return g.assembly.Accept(attempt, offset, data, last)
}

// broken takes the break of an attempt's connection and says how the answer goes on.
func (g *generation) broken(attempt string, err error) stream.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	return g.assembly.Broken(attempt, err)
}

// moved takes the planned move of an attempt's stream and says how the answer goes on.
func (g *generation) moved(attempt string) stream.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	return g.assembly.Moved(attempt)
}

func (g *generation) restart(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assembly.Restart(attempt)
}

// fail ends the answer explicitly, unless it is whole.
func (g *generation) fail(refusal *waxwingpick.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	g.assembly.Fail(refusal)
}

// expire gives the request up at its deadline.
func (g *generation) expire(time.Time) {
	g.fail(waxwingpick.Unknown(waxwingpick.ReasonDeadline, "deadline passed before the answer was whole"))
	g.cancel()
}

// delivered returns the part of the answer that the caller has or will get from the attempts so far.
func (g *generation) delivered() openai.Delivered {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.taken.Clone()
	for _, data := range g.assembly.Waiting() {
		if chunk, err := openai.ParseChunk(data); err == nil {
			all.Add(chunk)
		}
	}
	return all.Delivered()
}

// begun reports whether a part of the answer was accepted.
func (g *generation) begun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.assembly.Begun()
}

// wait returns once the first event is there or the request was given up.
func (g *generation) wait() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		if g.assembly.Begun() {
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

// Next returns the next chunk of the answer; io.EOF after its regular end.
func (g *generation) Next() (openai.Chunk, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		if data, ok := g.assembly.Take(); ok {
			return g.chunk(data)
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

// chunk gives every chunk of an answer the same identity, whichever engine sent it; the lock is held.
func (g *generation) chunk(data []byte) (openai.Chunk, error) {
	c, err := openai.ParseChunk(data)
	if err != nil {
		return c, fmt.Errorf("engine sent a bad chunk: %w", err)
	}
	g.keep(c)
	c.ID = g.answerID
	c.Created = g.started.Unix()
	if g.chunks == 0 {
		g.first = g.process.timers.Now()
	}
	g.chunks++
	if n, ok := c.PromptTokens(); ok {
		g.promptTokens = n
	}
	return c, nil
}

// keep notes what the caller takes, or frees it once nobody may have to continue the answer; the lock is held.
func (g *generation) keep(c openai.Chunk) {
	if !g.assembly.Continuable() {
		g.taken = openai.Transcript{}
		return
	}
	g.taken.Add(c)
}

// Close ends the request, also where the caller left early. The attempt that gave a whole answer ends by itself, so
// that its connection can be used again.
func (g *generation) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	ended, refusal := g.assembly.Finished()
	whole := ended && refusal == nil
	if g.left() {
		refusal = nil
	}
	if !whole {
		g.cancel()
	}
	g.process.completed(g, completion{
		whole:   whole,
		refusal: refusal,
		chunks:  g.chunks,
		prompt:  g.promptTokens,
		first:   g.first,
		target:  g.target,
	})
}
