package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/internal/rapidtest"
)

const (
	machineSlots  = 6
	machineBlocks = 20
	machineTokens = 2000
	machineQueue  = 3
	// machineLong is the number of blocks that a reserve of 0.25 leaves to long requests.
	machineLong = 15
)

// machineSteps is the mean number of actions in one run of the machine, enough to fill the queues.
const machineSteps = 150

func TestMain(m *testing.M) {
	rapidtest.MainSteps(m, 500, machineSteps)
}

// admitter is the system under test: a Controller or a faulty variant of it.
type admitter interface {
	Offer(now time.Time, req admission.Request) admission.Decision
	Next(now time.Time) (admission.Decision, bool)
	Wake() (time.Time, bool)
	FirstToken(now time.Time, id admission.AttemptID)
	Done(now time.Time, id admission.AttemptID, outputTokens int)
	Cancel(id admission.AttemptID) bool
	Drain()
	Resume()
	Drained() bool
}

// machine is the oracle. It tracks which attempts are queued and running.
type machine struct {
	admitter admitter
	now      time.Time
	serial   int
	waiting  map[admission.AttemptID]admission.Request
	running  map[admission.AttemptID]admission.Request
	draining bool
}

func (m *machine) offer(t *rapid.T) {
	m.serial++
	req := admission.Request{
		ID:           admission.AttemptID(fmt.Sprint(m.serial)),
		Workspace:    waxwingpick.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")),
		Class:        rapid.SampledFrom(waxwingpick.Classes()).Draw(t, "class"),
		PromptTokens: rapid.SampledFrom([]int{100, 200, 1500, 5000, 30_000}).Draw(t, "prompt"),
		OutputTokens: rapid.SampledFrom([]int{1, 50, 300, 2000}).Draw(t, "output"),
		Deadline:     m.now.Add(time.Duration(rapid.SampledFrom([]int{-100, 500, 5000, 30_000, 120_000}).Draw(t, "deadline")) * time.Millisecond),
		Continuation: rapid.Bool().Draw(t, "begun"),
	}
	m.waiting[req.ID] = req
	m.take(t, m.admitter.Offer(m.now, req))
	m.drainNext(t)
}

func (m *machine) take(t *rapid.T, d admission.Decision) {
	req, ok := m.waiting[d.ID]
	require.True(t, ok, "verdict %v on attempt %s, which does not wait", d.Verdict, d.ID)
	switch d.Verdict {
	case admission.VerdictRun:
		require.False(t, m.draining, "a draining controller ran attempt %s", d.ID)
		require.True(t, req.Deadline.After(m.now), "attempt %s ran after its deadline", d.ID)
		delete(m.waiting, d.ID)
		m.running[d.ID] = req
	case admission.VerdictQueued:
		require.False(t, m.draining, "a draining controller queued attempt %s", d.ID)
	case admission.VerdictRefused:
		delete(m.waiting, d.ID)
		require.Equal(t, waxwingpick.OutcomeNotRun, d.Refusal().Outcome)
		require.NotEmpty(t, d.Refusal().Reason)
	}
}

func (m *machine) drainNext(t *rapid.T) {
	for {
		d, ok := m.admitter.Next(m.now)
		if !ok {
			return
		}
		require.NotEqual(t, admission.VerdictQueued, d.Verdict)
		m.take(t, d)
	}
}

// drawAttempt draws one attempt of a set and skips the action if the set is empty.
func (m *machine) drawAttempt(t *rapid.T, attempts map[admission.AttemptID]admission.Request) admission.AttemptID {
	if len(attempts) == 0 {
		t.Skip("no attempt")
	}
	var ids []admission.AttemptID
	for id := range attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "attempt")
}

func (m *machine) done(t *rapid.T) {
	id := m.drawAttempt(t, m.running)
	delete(m.running, id)
	m.admitter.Done(m.now, id, rapid.IntRange(0, 1000).Draw(t, "tokens"))
	m.drainNext(t)
}

func (m *machine) firstToken(t *rapid.T) {
	m.admitter.FirstToken(m.now, m.drawAttempt(t, m.running))
	m.drainNext(t)
}

func (m *machine) cancel(t *rapid.T) {
	id := m.drawAttempt(t, m.waiting)
	require.True(t, m.admitter.Cancel(id), "waiting attempt %s is known", id)
	delete(m.waiting, id)
	m.drainNext(t)
}

// advance advances the time as an owner does, calling Next at each time returned by Wake.
func (m *machine) advance(t *rapid.T) {
	end := m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 30, 1000, 20_000}).Draw(t, "millis")) * time.Millisecond)
	for {
		at, ok := m.admitter.Wake()
		if !ok || at.After(end) {
			break
		}
		if at.After(m.now) {
			m.now = at
		}
		m.drainNext(t)
		again, ok := m.admitter.Wake()
		require.True(t, !ok || again.After(m.now), "Wake does not advance")
	}
	m.now = end
	m.drainNext(t)
}

// drain is rarer than the other actions, so that queues fill in between.
func (m *machine) drain(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "drains") > 0 {
		t.Skip("no drain")
	}
	m.admitter.Drain()
	m.draining = true
	m.drainNext(t)
	require.Empty(t, m.waiting, "a draining controller holds attempts")
}

func (m *machine) resume(t *rapid.T) {
	m.admitter.Resume()
	m.draining = false
	m.drainNext(t)
}

func (m *machine) check(t *rapid.T) {
	blocks, long := 0, 0
	for _, req := range m.running {
		n := (req.PromptTokens + req.OutputTokens + machineTokens - 1) / machineTokens
		blocks += n
		if req.Class == waxwingpick.ClassLong {
			long += n
		}
	}
	require.LessOrEqual(t, blocks, machineBlocks, "memory blocks are oversubscribed")
	require.LessOrEqual(t, long, machineLong, "long requests use reserved blocks")
	require.LessOrEqual(t, len(m.running), machineSlots)
	require.LessOrEqual(t, len(m.waiting), machineQueue)
	for id, req := range m.waiting {
		require.True(t, req.Deadline.After(m.now), "attempt %s is held after its deadline", id)
	}
	if len(m.running) == 0 {
		require.Empty(t, m.waiting, "attempts are queued at an idle target")
	}
	require.Equal(t, m.draining && len(m.running) == 0, m.admitter.Drained())
}

func controller(t require.TestingT, opts ...admission.Option) *admission.Controller {
	c, err := admission.New(append([]admission.Option{
		admission.Slots(machineSlots),
		admission.Memory(machineBlocks, machineTokens),
		admission.Reserve(0.25),
		admission.Queue(machineQueue),
	}, opts...)...)
	require.NoError(t, err)
	return c
}

// property runs random actions against the admitter and the oracle.
func property(build func(t require.TestingT) admitter) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := &machine{
			admitter: build(t),
			now:      start,
			waiting:  make(map[admission.AttemptID]admission.Request),
			running:  make(map[admission.AttemptID]admission.Request),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":           m.check,
			"offer":      m.offer,
			"offer2":     m.offer,
			"offer3":     m.offer,
			"offer4":     m.offer,
			"done":       m.done,
			"firstToken": m.firstToken,
			"cancel":     m.cancel,
			"advance":    m.advance,
			"drain":      m.drain,
			"resume":     m.resume,
		})
	}
}

func TestControllerKeepsItsPromises(t *testing.T) {
	rapid.Check(t, property(func(t require.TestingT) admitter {
		return controller(t)
	}))
}

// holdsLate keeps attempts that cannot meet their deadline.
type holdsLate struct{ *admission.Controller }

func (g holdsLate) Next(now time.Time) (admission.Decision, bool) {
	d, ok := g.Controller.Next(now)
	return d, ok && d.Verdict != admission.VerdictRefused
}

// admitsWhileDraining accepts attempts from entries that do not know yet that the target is leaving.
type admitsWhileDraining struct{ *admission.Controller }

func (g admitsWhileDraining) Drain() {}

// forgetsCancel runs requests whose callers have disconnected.
type forgetsCancel struct{ *admission.Controller }

func (g forgetsCancel) Cancel(admission.AttemptID) bool { return true }

// stuck only serves its queue while its target is busy.
type stuck struct{ *admission.Controller }

func (g stuck) Next(now time.Time) (admission.Decision, bool) {
	if g.Load(now).Running < machineSlots/2 {
		return admission.Decision{}, false
	}
	return g.Controller.Next(now)
}

func TestOracleDetectsFaultyControllers(t *testing.T) {
	faulty := map[string]func(t require.TestingT) admitter{
		"holds late attempts":                        func(t require.TestingT) admitter { return holdsLate{controller(t)} },
		"admits while draining":                      func(t require.TestingT) admitter { return admitsWhileDraining{controller(t)} },
		"runs cancelled attempts":                    func(t require.TestingT) admitter { return forgetsCancel{controller(t)} },
		"does not serve the queue of an idle target": func(t require.TestingT) admitter { return stuck{controller(t)} },
		"ignores memory":                             func(t require.TestingT) admitter { return controller(t, admission.Memory(0, machineTokens)) },
		"reserves nothing":                           func(t require.TestingT) admitter { return controller(t, admission.Reserve(0)) },
		"has one slot too many":                      func(t require.TestingT) admitter { return controller(t, admission.Slots(machineSlots+1)) },
		"queues without a limit":                     func(t require.TestingT) admitter { return controller(t, admission.Queue(1000)) },
		"counts half of the used memory": func(t require.TestingT) admitter {
			return controller(t, admission.Memory(machineBlocks, 2*machineTokens))
		},
	}
	for name, build := range faulty {
		t.Run(name, func(t *testing.T) {
			require.True(t, rapidtest.Fails(t, property(build)))
		})
	}
}
