package gateway

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/feed"
	"waxwingpick/core/routetable"
	"waxwingpick/core/timer"
)

const (
	// contact is the time without disruption after which a gateway has to obey the list and the configuration.
	contact = 3 * time.Second
	// openTimeout and responseMargin are the time-outs of calls, storeLatency the time of a response.
	openTimeout    = time.Second
	responseMargin = time.Second
	storeLatency   = 5 * time.Millisecond
	configKey      = "op/config"
	targetPrefix   = "servers/"
)

var errCut = eris.New("link is cut")

// cutStore is a key-value service on a link that may be cut. A call that is sent into the cut is lost, also if the cut ends
// before its time-out.
type cutStore struct {
	mu       sync.Mutex
	cut      bool
	refuses  bool
	cuts     int
	revision int64
	oldest   int64
	entries  map[string]waxwingpick.Entry
	history  []waxwingpick.KeyChange
	calls    int
}

func (s *cutStore) write(key, value string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := waxwingpick.Entry{
		Key:      key,
		Value:    []byte(value),
		Revision: s.revision,
	}
	s.entries[key] = e
	if removed {
		delete(s.entries, key)
	}
	s.history = append(s.history, waxwingpick.KeyChange{
		Entry:   e,
		Removed: removed,
	})
}

func (s *cutStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
}

func (s *cutStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	s.cuts++
}

// state returns whether the link is cut, and how often that has changed.
func (s *cutStore) state() (cut bool, cuts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut, s.cuts
}

// open fails after the time-out of connections if the link is cut.
func (s *cutStore) open(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if cut, _ := s.state(); cut {
		if !s.refuses {
			wait(ctx, openTimeout)
		}
		return fmt.Errorf("%w: %w", waxwingpick.ErrUnavailable, errCut)
	}
	wait(ctx, storeLatency)
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *cutStore) Probe(ctx context.Context) error {
	return s.open(ctx)
}

func (s *cutStore) Snapshot(ctx context.Context, _ string) ([]waxwingpick.Entry, waxwingpick.Position, error) {
	if err := s.open(ctx); err != nil {
		return nil, waxwingpick.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []waxwingpick.Entry
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	return entries, s.position(), nil
}

func (s *cutStore) position() waxwingpick.Position {
	return waxwingpick.Position{
		Revision: s.revision,
	}
}

func (s *cutStore) Changes(ctx context.Context, _ string, after waxwingpick.Position, limit time.Duration) ([]waxwingpick.KeyChange, waxwingpick.Position, error) {
	began := time.Now()
	if err := s.open(ctx); err != nil {
		return nil, after, err
	}
	_, cuts := s.state()
	for {
		if _, now := s.state(); now != cuts {
			wait(ctx, limit+responseMargin-time.Since(began))
			return nil, after, fmt.Errorf("%w: %w", waxwingpick.ErrUnavailable, errCut)
		}
		changes, at, err := s.since(after)
		if err != nil || len(changes) > 0 || time.Since(began) >= limit || ctx.Err() != nil {
			return changes, at, err
		}
		wait(ctx, storeLatency)
	}
}

func (s *cutStore) since(after waxwingpick.Position) ([]waxwingpick.KeyChange, waxwingpick.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Revision < s.oldest {
		return nil, after, waxwingpick.ErrHistoryCompacted
	}
	i := slices.IndexFunc(s.history, func(c waxwingpick.KeyChange) bool { return c.Revision > after.Revision })
	if i < 0 {
		return nil, s.position(), nil
	}
	return slices.Clone(s.history[i:]), s.position(), nil
}

// cutCatalog decodes the entries of a cutStore: the version of a configuration, and "leaving" or "ready" of a target.
func cutCatalog() Catalog {
	id := func(key string) waxwingpick.TargetID {
		return waxwingpick.TargetID(key[len(targetPrefix):])
	}
	return Catalog{
		RoutesPrefix:  configKey,
		TargetsPrefix: targetPrefix,
		Routes: func(e waxwingpick.Entry) (*routetable.Table, bool, error) {
			version, err := strconv.ParseInt(string(e.Value), 10, 64)
			return routetable.New(version, nil, []routetable.Service{{
				Name: "app",
			}}, routetable.Limits{}), err == nil, err
		},
		Target: func(e waxwingpick.Entry) (waxwingpick.Target, error) {
			return waxwingpick.Target{
				ID:      id(e.Key),
				Service: "app",
				Leaving: string(e.Value) == "leaving",
			}, nil
		},
		TargetID: id,
	}
}

// startCut starts a gateway that follows the service of a cutStore with targets "stays", "gone" and "late".
func startCut(t *testing.T) (*Process, *cutStore) {
	t.Helper()
	s := &cutStore{
		entries: make(map[string]waxwingpick.Entry),
	}
	s.write(configKey, "1", false)
	for _, id := range []string{"stays", "gone", "late"} {
		s.write(targetPrefix+id, "ready", false)
	}
	timers := timer.NewSystem()
	o := testOptions(t, timers)
	o.Feed = s
	o.Catalog = cutCatalog()
	p, err := New(o)
	require.NoError(t, err)
	p.Start()
	t.Cleanup(func() {
		require.NoError(t, p.Stop())
		timers.Close()
	})
	return p, s
}

// known returns the targets that requests may go to, and the version in force.
func known(p *Process) (ids []waxwingpick.TargetID, version int64) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	for _, t := range p.list.Targets() {
		if !t.Leaving {
			ids = append(ids, t.ID)
		}
	}
	if table := p.table.Load(); table != nil {
		version = table.Version()
	}
	return ids, version
}

// TestGatewayObeysInTimeAfterAPartition ends a partition at each phase of the calls that are under way in it. A target leaves
// meanwhile, with a report that may be compacted away, and another one after it without a report.
func TestGatewayObeysInTimeAfterAPartition(t *testing.T) {
	for _, row := range []struct {
		name               string
		length             time.Duration
		compacted, refuses bool
	}{
		{
			name:   "short",
			length: 100 * time.Millisecond,
		},
		{
			name:   "history",
			length: 6 * time.Second,
		},
		{
			name:      "compacted",
			length:    6 * time.Second,
			compacted: true,
		},
		{
			name:      "refused and compacted",
			length:    6 * time.Second,
			compacted: true,
			refuses:   true,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			for phase := time.Duration(0); phase < 2*time.Second; phase += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					p, s := startCut(t)
					s.refuses = row.refuses
					time.Sleep(5*time.Second + phase)
					s.setCut(true)
					time.Sleep(row.length / 2)
					s.write(targetPrefix+"gone", "leaving", false)
					s.write(configKey, "2", false)
					time.Sleep(row.length / 2)
					s.write(targetPrefix+"gone", "", true)
					if row.compacted {
						s.compact()
					}
					s.setCut(false)
					time.Sleep(contact / 3)
					s.write(targetPrefix+"late", "", true)
					time.Sleep(contact - contact/3)
					ids, version := known(p)
					require.EqualValues(t, 2, version, "%v into a call", phase)
					require.Equal(t, []waxwingpick.TargetID{"stays"}, ids, "%v into a call", phase)
				})
			}
		})
	}
}

// TestTargetThatReportedItsLeaveIsRemovedAtOnce has a gateway read the report and the removal of a target in one response.
func TestTargetThatReportedItsLeaveIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startCut(t)
		time.Sleep(5 * time.Second)
		s.setCut(true)
		time.Sleep(5 * time.Second)
		s.write(targetPrefix+"gone", "leaving", false)
		s.write(targetPrefix+"gone", "", true)
		s.write(configKey, "2", false)
		s.setCut(false)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if ids, version := known(p); version == 2 {
				require.NotContains(t, ids, waxwingpick.TargetID("gone"))
				return
			}
		}
		require.Fail(t, "configuration not in force in time")
	})
}

// TestOwnFailuresDoNotDelayARemovalThatARelayTells cuts a gateway off from the service, but not from a relay.
func TestOwnFailuresDoNotDelayARemovalThatARelayTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startCut(t)
		time.Sleep(time.Second)
		s.setCut(true)
		for i := range 60 {
			time.Sleep(feed.UpdatePeriod)
			if i == 40 {
				s.write(targetPrefix+"gone", "", true)
			}
			changes, at, err := s.since(waxwingpick.Position{})
			require.NoError(t, err)
			p.follower.applyUpdate(time.Now(), feed.Update{
				From:             "relay",
				ServiceReachable: true,
				Revision:         at.Revision,
				Changes:          changes,
			})
			ids, _ := known(p)
			require.Equal(t, i < 40, slices.Contains(ids, "gone"), "update %d", i)
		}
	})
}
