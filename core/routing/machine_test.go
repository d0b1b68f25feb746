package routing_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/internal/rapidtest"
)

const (
	machineTargets  = 10
	machineFailures = 3
	machineEjection = 5 * time.Second
	// machineFaulty is the number of targets that may fail, equal to the number that may be ejected at once.
	machineFaulty = 3
)

// machineSteps is the mean number of actions in one run, enough for targets to be ejected and to return.
const machineSteps = 150

func TestMain(m *testing.M) {
	rapidtest.MainSteps(m, 300, machineSteps)
}

// router is the system under test: a Router or a faulty variant of it.
type router interface {
	SetTargets(now time.Time, infos []routing.TargetInfo)
	Observe(now time.Time, rep routing.Report)
	ObserveCache(id waxwingpick.TargetID, event waxwingpick.CacheEvent)
	Choose(now time.Time, req routing.Request) (routing.Choice, error)
	Sent(now time.Time, c routing.Choice) routing.Choice
	Done(now time.Time, c routing.Choice, result routing.Result)
	Probes(now time.Time, dst []waxwingpick.TargetID) []waxwingpick.TargetID
}

// targetState is the oracle's state of one target.
type targetState struct {
	reportAt     time.Time
	leaving      bool
	leavingAt    time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
}

type machine struct {
	router      router
	now         time.Time
	infos       []routing.TargetInfo
	targetState map[waxwingpick.TargetID]*targetState
	sent        []routing.Choice
}

func (m *machine) info(id waxwingpick.TargetID) (routing.TargetInfo, bool) {
	i := slices.IndexFunc(m.infos, func(t routing.TargetInfo) bool {
		return t.ID == id
	})
	if i < 0 {
		return routing.TargetInfo{}, false
	}
	return m.infos[i], true
}

// setTargets changes one entry of the target list.
func (m *machine) setTargets(t *rapid.T) {
	infos := slices.Clone(m.infos)
	i := rapid.IntRange(0, len(infos)-1).Draw(t, "row")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		infos[i].Leaving = !infos[i].Leaving
	case 1:
		infos[i].Model = rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
	case 2:
		infos[i].Role = rapid.SampledFrom(waxwingpick.Roles()).Draw(t, "role")
	case 3:
		j := rapid.IntRange(0, len(infos)-1).Draw(t, "other")
		infos[i], infos[j] = infos[j], infos[i]
	}
	m.infos = infos
	m.router.SetTargets(m.now, infos)
}

func (m *machine) target(t *rapid.T) waxwingpick.TargetID {
	return m.infos[rapid.IntRange(0, len(m.infos)-1).Draw(t, "target")].ID
}

func (m *machine) observe(t *rapid.T) {
	id := m.target(t)
	age := time.Duration(rapid.SampledFrom([]int{0, 250, 1000, 5000}).Draw(t, "age")) * time.Millisecond
	load := waxwingpick.TargetLoad{
		Running:   rapid.IntRange(0, 32).Draw(t, "running"),
		Slots:     32,
		AgeMillis: age.Milliseconds(),
		Leaving:   rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
	}
	m.router.Observe(m.now, routing.Report{
		Target: id,
		Load:   load,
	})
	k := m.targetState[id]
	if at := m.now.Add(-age); !at.Before(k.reportAt) {
		k.reportAt = at
		k.leaving = load.Leaving || k.leaving && at.Before(k.leavingAt.Add(time.Second))
	}
}

func (m *machine) cache(t *rapid.T) {
	m.router.ObserveCache(m.target(t), waxwingpick.CacheEvent{
		Block: rapid.Uint64Range(1, 5).Draw(t, "block"),
		Held:  rapid.Bool().Draw(t, "held"),
		At:    m.now.Add(-time.Second),
	})
}

func (m *machine) choose(t *rapid.T) {
	req := routing.Request{
		Class:        rapid.SampledFrom(waxwingpick.Classes()).Draw(t, "class"),
		Model:        rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"),
		Stage:        rapid.SampledFrom([]routing.Stage{routing.StageFull, routing.StagePrefill, routing.StageDecode}).Draw(t, "leg"),
		PromptTokens: 5000,
		OutputTokens: 100,
		Prefix:       rapid.SliceOfN(rapid.Uint64Range(1, 5), 0, 3).Draw(t, "prefix"),
	}
	if rapid.Bool().Draw(t, "excludes") {
		req.Exclude = []waxwingpick.TargetID{m.target(t)}
	}
	c, err := m.router.Choose(m.now, req)
	if err != nil {
		var refusal *waxwingpick.Refusal
		require.True(t, errors.As(err, &refusal))
		require.Equal(t, waxwingpick.OutcomeNotRun, refusal.Outcome)
		for _, info := range m.infos {
			require.Error(t, m.objection(info.ID, req), "target %s is allowed but none was chosen", info.ID)
		}
		return
	}
	require.NoError(t, m.objection(c.Target, req))
	m.sent = append(m.sent, m.router.Sent(m.now, c))
}

// objection returns the reason why the request must not be sent to a target, or nil.
func (m *machine) objection(id waxwingpick.TargetID, req routing.Request) error {
	info, ok := m.info(id)
	k := m.targetState[id]
	switch {
	case !ok:
		return errors.New("not in the list")
	case info.Leaving:
		return errors.New("leaving according to the list")
	case k.leaving:
		return errors.New("leaving according to its sidecar")
	case m.now.Before(k.ejectedUntil):
		return errors.New("ejected")
	case info.Model != req.Model:
		return errors.New("wrong model")
	case slices.Contains(req.Exclude, id):
		return errors.New("excluded")
	case !roleTakes(info.Role, req.Stage) && (req.Stage != routing.StageFull || m.hasMixed(req.Model)):
		return errors.New("wrong role")
	}
	return nil
}

// hasMixed reports whether a target in the mixed role serves the model. If so, other targets must not run both stages.
func (m *machine) hasMixed(model string) bool {
	return slices.ContainsFunc(m.infos, func(t routing.TargetInfo) bool {
		return t.Model == model && t.Role == waxwingpick.RoleMixed && !t.Leaving
	})
}

func roleTakes(role waxwingpick.Role, stage routing.Stage) bool {
	if role == waxwingpick.RoleMixed {
		return true
	}
	return role == waxwingpick.RolePrefill && stage == routing.StagePrefill ||
		role == waxwingpick.RoleDecode && stage == routing.StageDecode
}

// done ends one attempt. Only faulty targets fail.
func (m *machine) done(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing was sent")
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "attempt")
	c := m.sent[i]
	m.sent = slices.Delete(m.sent, i, i+1)
	result := rapid.SampledFrom([]routing.Result{
		routing.ResultResponded, routing.ResultRefused, routing.ResultLeaving,
		routing.ResultCancelled, routing.ResultFailed, routing.ResultFailed, routing.ResultFailed,
	}).Draw(t, "result")
	if faulty := c.Target < waxwingpick.TargetID(fmt.Sprintf("t-%03d", machineFaulty)); result == routing.ResultFailed && !faulty {
		result = routing.ResultResponded
	}
	m.router.Done(m.now, c, result)
	m.apply(m.targetState[c.Target], result)
}

func (m *machine) apply(k *targetState, result routing.Result) {
	switch result {
	case routing.ResultResponded:
		k.failures = 0
		if !m.now.Before(k.ejectedUntil) {
			k.ejections = 0
		}
	case routing.ResultLeaving:
		k.leaving = true
		k.leavingAt = m.now
	case routing.ResultFailed:
		k.failures++
		if k.failures >= machineFailures && !m.now.Before(k.ejectedUntil) {
			k.ejectedUntil = m.now.Add(min(machineEjection<<k.ejections, time.Minute))
			k.ejections++
			k.failures = 0
		}
	case routing.ResultRefused, routing.ResultCancelled:
	}
}

func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 2000, 30_000}).Draw(t, "millis")) * time.Millisecond)
	m.router.Probes(m.now, nil)
}

func newRouter(t require.TestingT, opts ...routing.Option) *routing.Router {
	r, err := routing.New(append([]routing.Option{
		routing.Entry("entry-1", "zone-0"),
		routing.Ejection(machineFailures, machineEjection, 0),
		routing.Rand(rand.New(rand.NewPCG(1, 2))),
		routing.Subset(4, 2),
	}, opts...)...)
	require.NoError(t, err)
	return r
}

// property drives the router with random actions against the oracle.
func property(build func(t require.TestingT) router) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := &machine{
			router:      build(t),
			now:         start,
			infos:       fleet(machineTargets, 3),
			targetState: make(map[waxwingpick.TargetID]*targetState),
		}
		for _, info := range m.infos {
			m.targetState[info.ID] = &targetState{}
		}
		m.router.SetTargets(m.now, m.infos)
		t.Repeat(map[string]func(*rapid.T){
			"":           func(*rapid.T) {},
			"setTargets": m.setTargets,
			"observe":    m.observe,
			"cache":      m.cache,
			"choose":     m.choose,
			"choose2":    m.choose,
			"choose3":    m.choose,
			"done":       m.done,
			"done2":      m.done,
			"advance":    m.advance,
		})
	}
}

func TestRouterNeverChoosesWhatItMustNot(t *testing.T) {
	rapid.Check(t, property(func(t require.TestingT) router {
		return newRouter(t)
	}))
}

// naive is a faulty router: it modifies the inputs before they reach the Router.
type naive struct {
	*routing.Router
	report func(rep *routing.Report)
	result func(r routing.Result) routing.Result
	req    func(req *routing.Request)
	frozen bool
}

func (n *naive) SetTargets(now time.Time, infos []routing.TargetInfo) {
	if !n.frozen {
		n.Router.SetTargets(now, infos)
	}
	n.frozen = n.frozen || n.report == nil && n.result == nil && n.req == nil
}

func (n *naive) Observe(now time.Time, rep routing.Report) {
	if n.report != nil {
		n.report(&rep)
	}
	n.Router.Observe(now, rep)
}

func (n *naive) Done(now time.Time, c routing.Choice, r routing.Result) {
	if n.result != nil {
		r = n.result(r)
	}
	n.Router.Done(now, c, r)
}

func (n *naive) Choose(now time.Time, req routing.Request) (routing.Choice, error) {
	if n.req != nil {
		n.req(&req)
	}
	return n.Router.Choose(now, req)
}

func replace(from, to routing.Result) func(routing.Result) routing.Result {
	return func(r routing.Result) routing.Result {
		if r == from {
			return to
		}
		return r
	}
}

func TestOracleCatchesNaiveRouters(t *testing.T) {
	for name, n := range map[string]naive{
		"keeps the first list of targets": {},
		"ignores leaving in reports":      {report: func(rep *routing.Report) { rep.Load.Leaving = false }},
		"treats late reports as new":      {report: func(rep *routing.Report) { rep.Load.AgeMillis = 0 }},
		"ignores refusals of leaving":     {result: replace(routing.ResultLeaving, routing.ResultRefused)},
		"never ejects":                    {result: replace(routing.ResultFailed, routing.ResultCancelled)},
		"retries an excluded target":      {req: func(req *routing.Request) { req.Exclude = nil }},
		"ignores the model":               {req: func(req *routing.Request) { req.Model = "m" }},
		"ignores the role":                {req: func(req *routing.Request) { req.Stage = routing.StageDecode }},
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, rapidtest.Fails(t, property(func(t require.TestingT) router {
				variant := n
				variant.Router = newRouter(t)
				return &variant
			})))
		})
	}
}
