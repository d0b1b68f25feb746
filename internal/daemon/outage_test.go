package daemon_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/internal/demo"
	standinengine "waxwingpick/internal/standin/engine"
)

// stillTime is how long a plan is watched that may not move.
const stillTime = 2 * time.Second

// keyValueOutages are the ways in which the key-value service is away for everybody.
func keyValueOutages() []fault {
	return []fault{
		{
			name: "down",
			do:   func(s *system) { s.store.Store().SetDown(true) },
			heal: func(s *system) { s.store.Store().SetDown(false) },
		},
		{
			name: "slow",
			do:   func(s *system) { s.store.Store().SetDelay(10 * time.Second) },
			heal: func(s *system) { s.store.Store().SetDelay(0) },
		},
		{
			name: "unreachable",
			do:   func(s *system) { s.eachKeyValue(func(r *relay) { r.Cut(forward, back) }) },
			heal: func(s *system) { s.eachKeyValue((*relay).Heal) },
		},
		{
			name: "answers lost after effect",
			do:   func(s *system) { s.eachKeyValue(func(r *relay) { r.Cut(back) }) },
			heal: func(s *system) { s.eachKeyValue((*relay).Heal) },
		},
	}
}

func (s *system) eachKeyValue(do func(r *relay)) {
	for _, n := range s.nodes {
		do(n.kv)
	}
}

// TestKeyValueOutage takes the key-value service away right behind an accepted change, with load running, and restarts
// an entry and a sidecar meanwhile.
func TestKeyValueOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range keyValueOutages() {
		t.Run(outage.name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t)
			l := s.load()
			err := l.Drive(t.Context(), quickCallers, longCallers, orderCallers, func(context.Context) error {
				s.throughOutage(outage)
				return nil
			})
			require.NoError(t, err)
			s.awaitAgreed()
			require.NoError(t, l.Summary(s.engines, s.services).CheckFaulted(), "first failure: %v", l.First())
		})
	}
}

func (s *system) throughOutage(outage fault) {
	caller := demo.NewCaller("studio-9")
	defer caller.Close()
	before, err := s.book(caller, 0, "before")
	require.NoError(s.t, err)
	s.commit(config.SwitchPreset("maintenance"))
	s.await(s.someEntryFollows)
	outage.do(s)
	s.awaitConfig()
	s.restartInOutage()
	plan := s.plan().Revision
	_, err = s.book(caller, 0, "")
	require.NoError(s.t, err, "a booking without a key")
	for _, entry := range []int{0, 1} {
		_, err := caller.Chat(s.t.Context(), s.entry(entry).listen, model, "who swapped Tuesday salsa", 8)
		require.NoError(s.t, err, "a question")
		s.refusedInOutage(caller, entry, "before")
		s.refusedInOutage(caller, entry, "meanwhile")
	}
	time.Sleep(stillTime)
	require.Equal(s.t, plan, s.plan().Revision)
	s.await(func() bool {
		return s.everyEntryLogged("dependency lost", "keyValue")
	})
	outage.heal(s)
	s.awaitAgreed()
	s.await(func() bool {
		return s.everyEntryLogged("dependency is back", "keyValue")
	})
	require.Equal(s.t, string(before), string(s.answer(caller, 1, "before")))
	s.answer(caller, 0, "meanwhile")
}

// everyEntryLogged reports whether each entry has a log line with the message about a dependency.
func (s *system) everyEntryLogged(message, dependency string) bool {
	for _, n := range s.entries() {
		if !n.proc.logged(message, dependency) {
			return false
		}
	}
	return true
}

// someEntryFollows reports whether an entry acts under the accepted configuration.
func (s *system) someEntryFollows() bool {
	for _, n := range s.entries() {
		if status := s.entryStatus(n); status != nil && status.ConfigRevision == s.config().Revision {
			return true
		}
	}
	return false
}

// awaitConfig waits until every process acts under the accepted configuration.
func (s *system) awaitConfig() {
	s.t.Helper()
	s.await(func() bool {
		for _, n := range s.entries() {
			status := s.entryStatus(n)
			if status == nil || !status.Ready || status.ConfigRevision != s.config().Revision {
				return false
			}
			for _, target := range status.Targets {
				if target.ConfigRevision != status.ConfigRevision {
					return false
				}
			}
		}
		return true
	})
}

// restartInOutage restarts an entry and a sidecar, which have to learn the records from their peers.
func (s *system) restartInOutage() {
	for _, n := range []*node{s.entry(1), s.plainSidecar(1)} {
		s.kill(n)
		s.restart(n)
	}
	s.awaitConfig()
}

func (s *system) book(caller *demo.Caller, entry int, key string) ([]byte, error) {
	return caller.Call(s.t.Context(), s.entry(entry).listen, plainService, "POST", "/bookings", []byte(`{"child":"a"}`), key)
}

// answer sends a booking again until it is answered, as refusals with a time to come back ask for.
func (s *system) answer(caller *demo.Caller, entry int, key string) []byte {
	var answer []byte
	s.await(func() bool {
		var err error
		answer, err = s.book(caller, entry, key)
		return err == nil
	})
	return answer
}

// refusedInOutage sends a booking whose claim can't be looked up: the refusal says when to come back, and does not say
// that it did not run.
func (s *system) refusedInOutage(caller *demo.Caller, entry int, key string) {
	s.refused(caller, entry, key, waxwingpick.ReasonKeyValue)
}

func (s *system) refused(caller *demo.Caller, entry int, key string, reason waxwingpick.Reason) {
	s.t.Helper()
	_, err := s.book(caller, entry, key)
	var problem *demo.ProblemError
	require.ErrorAs(s.t, err, &problem)
	require.Equal(s.t, waxwingpick.OutcomeUnknown, problem.Problem().Outcome, problem.Error())
	require.Equal(s.t, reason, problem.Problem().Reason, problem.Error())
	require.Positive(s.t, problem.Problem().RetryAfterMillis)
}

// TestResendMeetsAnEntryThatServesNothing sends an answered booking again through an entry that has learned no record yet,
// and through one that stops: neither may say that it did not run.
func TestResendMeetsAnEntryThatServesNothing(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	caller := demo.NewCaller("studio-9")
	defer caller.Close()
	_, err := s.book(caller, 0, "before")
	require.NoError(t, err)
	starting, stopping := s.entry(1), s.entry(0)
	s.kill(starting)
	s.eachWayOf(starting, func(r *relay) { r.Cut(forward, back) })
	s.restart(starting)
	s.await(func() bool {
		return status(starting.listen, "/readyz") == http.StatusServiceUnavailable
	})
	s.refused(caller, 1, "before", waxwingpick.ReasonNotReady)
	s.eachWayOf(starting, (*relay).Heal)
	s.awaitAgreed()
	for _, e := range s.engines {
		e.SetFaults(standinengine.Faults{Slow: 10_000})
	}
	go func() {
		history := strings.Repeat("class on tuesday ", 2000)
		_, _ = demo.NewCaller("studio-8").Chat(t.Context(), stopping.listen, model, history, 8)
	}()
	s.await(func() bool {
		status := s.entryStatus(stopping)
		return status != nil && status.Running > 0
	})
	s.signal(stopping, syscall.SIGTERM)
	s.await(func() bool {
		return status(stopping.listen, "/readyz") == http.StatusServiceUnavailable
	})
	s.refused(caller, 0, "before", waxwingpick.ReasonStopping)
}

// eachWayOf goes through every way out of a node and into it.
func (s *system) eachWayOf(n *node, do func(r *relay)) {
	do(n.kv)
	for _, peer := range s.nodes {
		for _, ways := range []map[waxwingpick.InstanceID]*relay{n.control, n.data} {
			if r := ways[peer.instance.ID]; r != nil {
				do(r)
			}
		}
		if r := peer.control[n.instance.ID]; r != nil {
			do(r)
		}
	}
}

// TestRegionsApart cuts the second region from the first one and from the key-value service, and joins them.
func TestRegionsApart(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	l := s.load()
	err := l.Drive(t.Context(), quickCallers, longCallers, orderCallers, func(context.Context) error {
		s.throughSplit()
		return nil
	})
	require.NoError(t, err)
	s.awaitAgreed()
	require.NoError(t, l.Summary(s.engines, s.services).CheckFaulted(), "first failure: %v", l.First())
}

func (s *system) throughSplit() {
	caller := demo.NewCaller("studio-9")
	defer caller.Close()
	_, err := s.book(caller, 0, "before")
	require.NoError(s.t, err)
	old := s.config().Revision
	s.eachBetweenRegions(func(r *relay) { r.Cut(forward, back) })
	s.await(func() bool {
		return s.plan().Holder == s.entry(0).instance.ID
	})
	epoch := s.plan().Epoch
	s.commit(config.SwitchPreset("maintenance"))
	s.await(func() bool {
		return s.regionFollows(0, s.config().Revision)
	})
	_, err = s.book(caller, 0, "meanwhile")
	require.NoError(s.t, err)
	s.refusedInOutage(caller, 1, "before")
	s.refusedInOutage(caller, 1, "apart")
	for _, entry := range []int{0, 1} {
		_, err := caller.Chat(s.t.Context(), s.entry(entry).listen, model, "who swapped Tuesday salsa", 8)
		require.NoError(s.t, err, "a question")
	}
	require.True(s.t, s.regionFollows(1, old), "the region apart keeps its records")
	s.eachBetweenRegions((*relay).Heal)
	s.awaitAgreed()
	require.GreaterOrEqual(s.t, s.plan().Epoch, epoch)
	for _, key := range []string{"before", "meanwhile", "apart"} {
		s.answer(caller, 1, key)
	}
}

// eachBetweenRegions goes through every way between the regions, and from the second one to the key-value service.
func (s *system) eachBetweenRegions(do func(r *relay)) {
	for _, n := range s.nodes {
		if n.instance.Zone == s.entry(1).instance.Zone {
			do(n.kv)
		}
		for _, peer := range s.nodes {
			if peer.instance.Zone == n.instance.Zone {
				continue
			}
			do(n.control[peer.instance.ID])
			if r := n.data[peer.instance.ID]; r != nil {
				do(r)
			}
		}
	}
}

// regionFollows reports whether an entry and the targets of its region act under a revision.
func (s *system) regionFollows(region int, revision int64) bool {
	status := s.entryStatus(s.entry(region))
	if status == nil || !status.Ready || status.ConfigRevision != revision {
		return false
	}
	for _, target := range status.Targets {
		if target.Zone == s.entry(region).instance.Zone && target.ConfigRevision != revision {
			return false
		}
	}
	return true
}
