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

// unchangedTime is the time during which the plan must not change.
const unchangedTime = 2 * time.Second

// keyValueOutages returns the ways in which the key-value service is unavailable to all processes.
func keyValueOutages() []fault {
	return []fault{
		{
			name:   "down",
			inject: func(s *system) { s.store.Store().SetDown(true) },
			heal:   func(s *system) { s.store.Store().SetDown(false) },
		},
		{
			name:   "slow",
			inject: func(s *system) { s.store.Store().SetDelay(10 * time.Second) },
			heal:   func(s *system) { s.store.Store().SetDelay(0) },
		},
		{
			name:   "unreachable",
			inject: func(s *system) { s.eachKeyValueRelay(func(r *relay) { r.Cut(forward, back) }) },
			heal:   func(s *system) { s.eachKeyValueRelay((*relay).Heal) },
		},
		{
			name:   "answers lost after effect",
			inject: func(s *system) { s.eachKeyValueRelay(func(r *relay) { r.Cut(back) }) },
			heal:   func(s *system) { s.eachKeyValueRelay((*relay).Heal) },
		},
	}
}

func (s *system) eachKeyValueRelay(do func(r *relay)) {
	for _, n := range s.nodes {
		do(n.kv)
	}
}

// TestKeyValueOutage makes the key-value service unavailable right after an accepted change, under load, and restarts an
// entry and a sidecar during the outage.
func TestKeyValueOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range keyValueOutages() {
		t.Run(outage.name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t)
			l := s.load()
			err := l.RunDuring(t.Context(), quickCallers, longCallers, orderCallers, func(context.Context) error {
				s.checkOutage(outage)
				return nil
			})
			require.NoError(t, err)
			s.awaitConverged()
			require.NoError(t, l.Summary(s.engines, s.services).CheckFaulted(), "first failure: %v", l.FirstError())
		})
	}
}

func (s *system) checkOutage(outage fault) {
	caller := demo.NewCaller("studio-9")
	defer caller.Close()
	before, err := s.book(caller, 0, "before")
	require.NoError(s.t, err)
	s.commit(config.SwitchPreset("maintenance"))
	s.await(s.anyEntryApplied)
	outage.inject(s)
	s.awaitConfig()
	s.restartDuringOutage()
	plan := s.plan().Revision
	_, err = s.book(caller, 0, "")
	require.NoError(s.t, err, "booking without an idempotency key")
	for _, entry := range []int{0, 1} {
		_, err := caller.Chat(s.t.Context(), s.entry(entry).listen, model, "who swapped Tuesday salsa", 8)
		require.NoError(s.t, err, "chat request")
		s.requireKeyValueRefusal(caller, entry, "before")
		s.requireKeyValueRefusal(caller, entry, "meanwhile")
	}
	time.Sleep(unchangedTime)
	require.Equal(s.t, plan, s.plan().Revision)
	s.await(func() bool {
		return s.everyEntryLogged("dependency lost", "keyValue")
	})
	outage.heal(s)
	s.awaitConverged()
	s.await(func() bool {
		return s.everyEntryLogged("dependency is back", "keyValue")
	})
	require.Equal(s.t, string(before), string(s.bookingResponse(caller, 1, "before")))
	s.bookingResponse(caller, 0, "meanwhile")
}

// everyEntryLogged reports whether each entry has logged the message about a dependency.
func (s *system) everyEntryLogged(message, dependency string) bool {
	for _, n := range s.entries() {
		if !n.proc.logged(message, dependency) {
			return false
		}
	}
	return true
}

// anyEntryApplied reports whether any entry has applied the accepted configuration.
func (s *system) anyEntryApplied() bool {
	for _, n := range s.entries() {
		if status := s.entryStatus(n); status != nil && status.ConfigRevision == s.config().Revision {
			return true
		}
	}
	return false
}

// awaitConfig waits until every process has applied the accepted configuration.
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

// restartDuringOutage restarts an entry and a sidecar, which have to obtain the records from their peers.
func (s *system) restartDuringOutage() {
	for _, n := range []*node{s.entry(1), s.plainSidecar(1)} {
		s.kill(n)
		s.restart(n)
	}
	s.awaitConfig()
}

func (s *system) book(caller *demo.Caller, entry int, key string) ([]byte, error) {
	return caller.Call(s.t.Context(), s.entry(entry).listen, plainService, "POST", "/bookings", []byte(`{"child":"a"}`), key)
}

// bookingResponse repeats a booking until it succeeds, and returns the response.
func (s *system) bookingResponse(caller *demo.Caller, entry int, key string) []byte {
	var bookingResponse []byte
	s.await(func() bool {
		var err error
		bookingResponse, err = s.book(caller, entry, key)
		return err == nil
	})
	return bookingResponse
}

// requireKeyValueRefusal sends a booking whose claim cannot be read. The refusal must say when to retry and that it is
// unknown whether the booking has run.
func (s *system) requireKeyValueRefusal(caller *demo.Caller, entry int, key string) {
	s.requireRefusal(caller, entry, key, waxwingpick.ReasonKeyValue)
}

func (s *system) requireRefusal(caller *demo.Caller, entry int, key string, reason waxwingpick.Reason) {
	s.t.Helper()
	_, err := s.book(caller, entry, key)
	var problem *demo.ProblemError
	require.ErrorAs(s.t, err, &problem)
	require.Equal(s.t, waxwingpick.OutcomeUnknown, problem.Problem().Outcome, problem.Error())
	require.Equal(s.t, reason, problem.Problem().Reason, problem.Error())
	require.Positive(s.t, problem.Problem().RetryAfterMillis)
}

// TestResendMeetsAnEntryThatServesNothing repeats a completed booking at an entry that has received no records yet, and
// at one that is stopping. Neither may respond that the booking has not run.
func TestResendMeetsAnEntryThatServesNothing(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	caller := demo.NewCaller("studio-9")
	defer caller.Close()
	_, err := s.book(caller, 0, "before")
	require.NoError(t, err)
	starting, stopping := s.entry(1), s.entry(0)
	s.kill(starting)
	s.eachRelayOf(starting, func(r *relay) { r.Cut(forward, back) })
	s.restart(starting)
	s.await(func() bool {
		return status(starting.listen, "/readyz") == http.StatusServiceUnavailable
	})
	s.requireRefusal(caller, 1, "before", waxwingpick.ReasonNotReady)
	s.eachRelayOf(starting, (*relay).Heal)
	s.awaitConverged()
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
	s.requireRefusal(caller, 0, "before", waxwingpick.ReasonStopping)
}

// eachRelayOf calls do for every relay on connections from and to a node.
func (s *system) eachRelayOf(n *node, do func(r *relay)) {
	do(n.kv)
	for _, peer := range s.nodes {
		for _, relays := range []map[waxwingpick.InstanceID]*relay{n.control, n.data} {
			if r := relays[peer.instance.ID]; r != nil {
				do(r)
			}
		}
		if r := peer.control[n.instance.ID]; r != nil {
			do(r)
		}
	}
}

// TestRegionsApart partitions the second region from the first one and from the key-value service, under load, and heals
// the partition.
func TestRegionsApart(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	l := s.load()
	err := l.RunDuring(t.Context(), quickCallers, longCallers, orderCallers, func(context.Context) error {
		s.checkPartition()
		return nil
	})
	require.NoError(t, err)
	s.awaitConverged()
	require.NoError(t, l.Summary(s.engines, s.services).CheckFaulted(), "first failure: %v", l.FirstError())
}

func (s *system) checkPartition() {
	caller := demo.NewCaller("studio-9")
	defer caller.Close()
	_, err := s.book(caller, 0, "before")
	require.NoError(s.t, err)
	old := s.config().Revision
	s.eachRelayBetweenRegions(func(r *relay) { r.Cut(forward, back) })
	s.await(func() bool {
		return s.plan().Holder == s.entry(0).instance.ID
	})
	epoch := s.plan().Epoch
	s.commit(config.SwitchPreset("maintenance"))
	s.await(func() bool {
		return s.regionApplied(0, s.config().Revision)
	})
	_, err = s.book(caller, 0, "meanwhile")
	require.NoError(s.t, err)
	s.requireKeyValueRefusal(caller, 1, "before")
	s.requireKeyValueRefusal(caller, 1, "apart")
	for _, entry := range []int{0, 1} {
		_, err := caller.Chat(s.t.Context(), s.entry(entry).listen, model, "who swapped Tuesday salsa", 8)
		require.NoError(s.t, err, "chat request")
	}
	require.True(s.t, s.regionApplied(1, old), "the partitioned region keeps its records")
	s.eachRelayBetweenRegions((*relay).Heal)
	s.awaitConverged()
	require.GreaterOrEqual(s.t, s.plan().Epoch, epoch)
	for _, key := range []string{"before", "meanwhile", "apart"} {
		s.bookingResponse(caller, 1, key)
	}
}

// eachRelayBetweenRegions calls do for every relay between the regions, and between the second region and the key-value
// service.
func (s *system) eachRelayBetweenRegions(do func(r *relay)) {
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

// regionApplied reports whether the entry and the targets of a region have applied a configuration revision.
func (s *system) regionApplied(region int, revision int64) bool {
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
