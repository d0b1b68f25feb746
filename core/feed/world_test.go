package feed_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/feed"
	"waxwingpick/internal/rapidtest"
)

const (
	// step is the time resolution of the simulation.
	step = 50 * time.Millisecond
	// wait is how long a call for changes waits, slack the additional time before it is cancelled.
	wait  = 700 * time.Millisecond
	slack = time.Second
	// settleTime is the time without disruption after which a process must be up to date within maxDelay.
	settleTime = 3 * time.Second
	maxDelay   = 2 * time.Second
	// maxNotice is the time without disruption after which a process must have noticed that the service is back. The delay of
	// removals that begins then must fit into settleTime as well.
	maxNotice = time.Second
	zone      = waxwingpick.AvailabilityZone("zone")
	// configKey is written with increasing versions, like the operators' configuration.
	configKey = "config"
)

var start = time.Unix(1_000_000, 0)

// decider is the system under test: a Feed or a faulty variant of it.
type decider interface {
	Synced() bool
	Position() waxwingpick.Position
	Mode(now time.Time) feed.Mode
	Failed()
	RecoveredAt() time.Time
	HistoryCompacted(now time.Time)
	ApplySnapshot(now time.Time, entries []waxwingpick.Entry, at waxwingpick.Position) bool
	ApplyChanges(now time.Time, after waxwingpick.Position, changes []waxwingpick.KeyChange, at waxwingpick.Position) []waxwingpick.KeyChange
	ApplyUpdate(now time.Time, n feed.Update) []waxwingpick.KeyChange
	NextUpdate(now time.Time) (feed.Update, bool)
}

type build func(id waxwingpick.InstanceID, jitter time.Duration) decider

func correct(id waxwingpick.InstanceID, jitter time.Duration) decider {
	return feed.New(id, zone, jitter)
}

// kvStore simulates the key-value service and its history.
type kvStore struct {
	era      int64
	revision int64
	// version is the latest version of the configuration that the operators wrote.
	version int64
	oldest  int64
	// copies holds earlier states, to which the service may return.
	copies  []kvCopy
	entries map[string]waxwingpick.Entry
	history []waxwingpick.KeyChange
	acked   []ack
	down    bool
}

// kvCopy is the state of the service at an earlier time.
type kvCopy struct {
	revision int64
	entries  map[string]waxwingpick.Entry
}

// ack records when a version of the configuration was acknowledged.
type ack struct {
	version int64
	at      time.Time
}

// maxCopies bounds the earlier states that are kept.
const maxCopies = 8

// configure writes the next version of the configuration, or the latest one again.
func (s *kvStore) configure(now time.Time, next bool) {
	if next {
		s.version++
	}
	s.write(configKey, false)
	s.acked = append(s.acked, ack{
		version: s.version,
		at:      now,
	})
}

// position returns the current position.
func (s *kvStore) position() waxwingpick.Position {
	return waxwingpick.Position{
		Era:      s.era,
		Revision: s.revision,
	}
}

// restore returns to an earlier state, in the next era.
func (s *kvStore) restore(c kvCopy) {
	s.era++
	s.revision = c.revision
	s.entries = maps.Clone(c.entries)
	s.history = slices.DeleteFunc(s.history, func(change waxwingpick.KeyChange) bool { return change.Revision > c.revision })
	s.oldest = min(s.oldest, c.revision)
	s.copies = slices.DeleteFunc(s.copies, func(other kvCopy) bool { return other.revision > c.revision })
}

func (s *kvStore) write(key string, removed bool) {
	s.copies = append(s.copies, kvCopy{
		revision: s.revision,
		entries:  maps.Clone(s.entries),
	})
	if len(s.copies) > maxCopies {
		s.copies = s.copies[1:]
	}
	s.revision++
	e := waxwingpick.Entry{
		Key:      key,
		Value:    []byte(fmt.Sprint(s.revision)),
		Revision: s.revision,
	}
	if key == configKey {
		e.Value = []byte(fmt.Sprint(s.version))
	}
	if removed {
		delete(s.entries, key)
	} else {
		s.entries[key] = e
	}
	s.history = append(s.history, waxwingpick.KeyChange{
		Entry:   e,
		Removed: removed,
	})
}

func (s *kvStore) after(revision int64) []waxwingpick.KeyChange {
	var changes []waxwingpick.KeyChange
	for _, c := range s.history {
		if c.Revision > revision {
			changes = append(changes, c)
		}
	}
	return changes
}

// node simulates one process and its call to the service.
type node struct {
	id    waxwingpick.InstanceID
	feed  decider
	state map[string]int64
	// era is that of state, version the version of the configuration in force.
	era       int64
	version   int64
	callStart time.Time
	after     waxwingpick.Position
	calling   bool
	// lost means that the call under way was sent into a partition, or met one.
	lost     bool
	schedule *feed.Calls
	// wait is how long the call under way waits for changes.
	wait       time.Duration
	lastUpdate time.Time
	frozen     bool
	cutStore   bool
	// inboundCut and outboundCut block messages from and to the other processes.
	inboundCut, outboundCut bool
	// frozenFor is the time spent frozen, which the process's clock does not count.
	frozenFor time.Duration
	// lastDisrupted is when the node was last disrupted.
	lastDisrupted time.Time
	calls         int
	inbox         []message
}

type message struct {
	update feed.Update
	due    time.Time
}

// world simulates the processes of an availability zone and one service.
type world struct {
	draw  rapidtest.Draw
	build build
	now   time.Time
	store kvStore
	nodes []*node
	// restores makes the service return from older copies now and then.
	restores bool
	// cutsRelays makes all relays lose the service at the same time now and then.
	cutsRelays bool
	// lossy makes messages get lost, duplicated and delayed.
	lossy bool
	// unstable is when the service was last disrupted, lastDisruption when anything was.
	unstable       time.Time
	lastDisruption time.Time
	started        int
}

func newWorld(draw rapidtest.Draw, b build) *world {
	w := &world{
		draw:           draw,
		build:          b,
		now:            start,
		lastDisruption: start,
		store: kvStore{
			era:     1,
			entries: make(map[string]waxwingpick.Entry),
		},
	}
	w.store.configure(w.now, true)
	for range 1 + draw(9) {
		w.nodes = append(w.nodes, w.newNode())
	}
	return w
}

func (w *world) newNode() *node {
	w.started++
	id := waxwingpick.InstanceID(fmt.Sprint("gateway", w.started))
	return &node{
		id:            id,
		feed:          w.build(id, time.Duration(w.draw(int(feed.Jitter)))),
		state:         make(map[string]int64),
		schedule:      feed.NewCalls(wait, func(n int64) int64 { return int64(w.draw(int(n))) }),
		lastDisrupted: w.now,
	}
}

// disrupt starts or ends one disruption.
func (w *world) disrupt() {
	w.lastDisruption = w.now
	n := w.nodes[w.draw(len(w.nodes))]
	if w.draw(3) == 0 {
		n = w.relay()
	}
	n.lastDisrupted = w.now
	switch w.draw(9) {
	case 0:
		w.nodes[slices.Index(w.nodes, n)] = w.newNode()
	case 1:
		n.frozen = !n.frozen
	case 2:
		n.cutStore = !n.cutStore
	case 3:
		n.inboundCut = !n.inboundCut
	case 4:
		n.outboundCut = !n.outboundCut
	case 5:
		w.store.down = !w.store.down
		w.unstable = w.now
	case 6:
		w.store.oldest = w.store.revision
		w.store.history = nil
	case 7:
		w.lossy = !w.lossy
	case 8:
		if len(w.nodes) < 12 {
			w.nodes = append(w.nodes, w.newNode())
		}
	}
}

// restore makes the service return from an older copy. The operators write the configuration again, beside other writes that
// are given the lost revisions.
func (w *world) restore() {
	w.unstable = w.now
	w.lastDisruption = w.now
	if len(w.store.copies) > 0 {
		w.store.restore(w.store.copies[w.draw(len(w.store.copies))])
	}
	rewritten := w.draw(6)
	for i := range 6 {
		if i == rewritten {
			w.store.configure(w.now, false)
		}
		if w.draw(2) == 0 {
			w.store.write(fmt.Sprint("key", w.draw(4)), w.draw(3) == 0)
		}
	}
}

// cutRelays partitions all processes that read changes from the service.
func (w *world) cutRelays() {
	w.lastDisruption = w.now
	for _, n := range w.nodes {
		if n.feed.Mode(n.now(w)) == feed.ModeRead {
			n.lastDisrupted = w.now
			n.cutStore = true
		}
	}
}

// relay returns a process that reads changes, or the first process if there is none.
func (w *world) relay() *node {
	for _, n := range w.nodes {
		if n.feed.Mode(n.now(w)) == feed.ModeRead {
			return n
		}
	}
	return w.nodes[0]
}

// heal ends every disruption.
func (w *world) heal() {
	w.lastDisruption = w.now
	w.lossy = false
	if w.store.down {
		w.store.down = false
		w.unstable = w.now
	}
	for _, n := range w.nodes {
		if n.frozen || n.cutStore || n.inboundCut || n.outboundCut {
			n.lastDisrupted = w.now
			n.frozen, n.cutStore, n.inboundCut, n.outboundCut = false, false, false, false
		}
	}
}

// tick advances the simulation by one step.
func (w *world) tick() error {
	w.now = w.now.Add(step)
	if w.store.down {
		w.unstable = w.now
	}
	for _, n := range w.nodes {
		if n.frozen || n.cutStore || n.inboundCut || n.outboundCut {
			n.lastDisrupted = w.now
		}
		if n.frozen {
			n.frozenFor += step
			continue
		}
		if err := w.step(n); err != nil {
			return err
		}
	}
	return w.check()
}

// now returns the time of the process's clock.
func (n *node) now(w *world) time.Time {
	return w.now.Add(-n.frozenFor)
}

func (w *world) step(n *node) error {
	var late []message
	for _, m := range n.inbox {
		if m.due.After(w.now) {
			late = append(late, m)
			continue
		}
		synced := n.feed.Synced()
		if err := n.apply(n.feed.ApplyUpdate(n.now(w), m.update)); err != nil {
			return err
		}
		if synced && !n.feed.Synced() && n.calling {
			n.calling = false
			n.schedule.Abandoned()
		}
	}
	n.inbox = late
	update, err := w.call(n)
	if err != nil {
		return err
	}
	if update || n.now(w).Sub(n.lastUpdate) >= feed.UpdatePeriod {
		w.broadcast(n)
	}
	return nil
}

// call starts or completes the call of a process and reports whether it has something new to send.
func (w *world) call(n *node) (bool, error) {
	now := n.now(w)
	if n.schedule.ProbeDue(now) && !n.cutStore && !w.store.down && n.schedule.ProbeAnswered(now, now) && n.calling {
		n.calling = false
		n.schedule.Abandoned()
	}
	if !n.calling {
		if n.feed.Mode(now) == feed.ModeReceive {
			n.schedule.Reset()
			return false, nil
		}
		if n.schedule.Pause(now) > 0 {
			return false, nil
		}
		n.wait = n.schedule.Begin(now)
		n.calling, n.lost, n.callStart, n.after = true, false, now, n.feed.Position()
		n.calls++
	}
	n.lost = n.lost || n.cutStore
	switch {
	case n.lost || w.store.down:
		// A lost call is detected by its time-out, an unavailable service immediately.
		if !n.lost || now.Sub(n.callStart) >= n.wait+slack {
			n.calling = false
			n.schedule.Failed(now)
			n.feed.Failed()
			return true, nil
		}
		return false, nil
	case !n.feed.Synced():
		n.calling = false
		n.schedule.Succeeded(now)
		var entries []waxwingpick.Entry
		for _, e := range w.store.entries {
			entries = append(entries, e)
		}
		if !n.feed.ApplySnapshot(n.now(w), entries, w.store.position()) {
			return false, nil
		}
		previous := n.state
		n.state = make(map[string]int64)
		for _, e := range entries {
			n.put(e)
		}
		if n.era == w.store.era && n.state[configKey] < previous[configKey] {
			return false, fmt.Errorf("%s regressed after a snapshot", n.id)
		}
		n.era = w.store.era
		return true, nil
	case n.after.Era != w.store.era || n.after.Revision < w.store.oldest:
		n.calling = false
		n.schedule.Reset()
		n.feed.HistoryCompacted(now)
		return false, nil
	}
	changes := w.store.after(n.after.Revision)
	if len(changes) == 0 && now.Sub(n.callStart) < n.wait {
		return false, nil
	}
	n.calling = false
	n.schedule.Succeeded(now)
	newChanges := n.feed.ApplyChanges(n.now(w), n.after, changes, w.store.position())
	return len(newChanges) > 0, n.apply(newChanges)
}

// apply applies changes and fails if one has an older revision than the state.
func (n *node) apply(changes []waxwingpick.KeyChange) error {
	for _, c := range changes {
		if c.Revision < n.state[c.Key] {
			return fmt.Errorf("%s regressed from %d to %d of %s", n.id, n.state[c.Key], c.Revision, c.Key)
		}
		if c.Removed {
			delete(n.state, c.Key)
			continue
		}
		n.put(c.Entry)
	}
	return nil
}

// put applies an entry. A configuration stays in force until a newer version comes.
func (n *node) put(e waxwingpick.Entry) {
	n.state[e.Key] = e.Revision
	if version, err := strconv.ParseInt(string(e.Value), 10, 64); err == nil && e.Key == configKey {
		n.version = max(n.version, version)
	}
}

func (w *world) broadcast(n *node) {
	n.lastUpdate = n.now(w)
	if n.feed.Mode(n.now(w)) == feed.ModeReceive {
		return
	}
	update, ok := n.feed.NextUpdate(n.now(w))
	if !ok || n.outboundCut {
		return
	}
	for _, other := range w.nodes {
		if other == n || other.inboundCut {
			continue
		}
		copies := 1
		delay := time.Duration(0)
		if w.lossy {
			copies = w.draw(3)
			delay = time.Duration(w.draw(10)) * step
		}
		for range copies {
			other.inbox = append(other.inbox, message{
				update: update,
				due:    w.now.Add(delay),
			})
		}
	}
}

// check fails if a process without recent disruption is behind, or if too many processes read without any disruption.
func (w *world) check() error {
	reading := 0
	for _, n := range w.nodes {
		if n.feed.Mode(n.now(w)) == feed.ModeRead {
			reading++
		}
		if w.now.Sub(n.lastDisrupted) < settleTime || w.now.Sub(w.unstable) < settleTime {
			continue
		}
		disrupted := n.lastDisrupted
		if w.unstable.After(disrupted) {
			disrupted = w.unstable
		}
		if returned := n.feed.RecoveredAt().Add(n.frozenFor); returned.After(disrupted.Add(maxNotice)) {
			return fmt.Errorf("%s records an outage of the service until %v after the last disruption", n.id, returned.Sub(disrupted))
		}
		for _, a := range w.store.acked {
			if w.now.Sub(a.at) > maxDelay && n.version < a.version {
				return fmt.Errorf("%s has version %d, %v after %d was acknowledged", n.id, n.version, w.now.Sub(a.at), a.version)
			}
		}
	}
	if limit := min(feed.Relays, len(w.nodes)); w.now.Sub(w.lastDisruption) > settleTime && reading > limit && !w.disturbed() {
		return fmt.Errorf("%d of %d processes read without a disruption", reading, len(w.nodes))
	}
	return nil
}

func (w *world) disturbed() bool {
	disturbed := w.store.down || w.lossy
	for _, n := range w.nodes {
		disturbed = disturbed || n.frozen || n.cutStore || n.inboundCut || n.outboundCut
	}
	return disturbed
}

// episode runs random disruptions and writes, and ends all disruptions now and then.
func (w *world) episode() error {
	for range 30 {
		if w.restores && w.draw(20) == 0 {
			w.restore()
		}
		if w.cutsRelays && w.draw(5) == 0 {
			w.cutRelays()
		}
		switch w.draw(6) {
		case 0, 1:
			w.disrupt()
		case 2:
			w.heal()
		case 3:
			w.store.write(fmt.Sprint("key", w.draw(4)), w.draw(3) == 0)
		case 4, 5:
			if !w.store.down {
				w.store.configure(w.now, true)
			}
		}
		for range w.draw(30) {
			if err := w.tick(); err != nil {
				return err
			}
		}
	}
	w.heal()
	for range 6 * int(time.Second/step) {
		if err := w.tick(); err != nil {
			return err
		}
	}
	return w.checkKeys()
}

// checkKeys fails if a process does not have the keys of the service.
func (w *world) checkKeys() error {
	for _, n := range w.nodes {
		for key, e := range w.store.entries {
			if n.state[key] != e.Revision {
				return fmt.Errorf("%s has revision %d of %s, the service %d in era %d", n.id, n.state[key], key, e.Revision, w.store.era)
			}
		}
		for key := range n.state {
			if _, ok := w.store.entries[key]; !ok {
				return fmt.Errorf("%s has %s, which the service does not have in era %d", n.id, key, w.store.era)
			}
		}
	}
	return nil
}

func episodeOf(b build) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		return newWorld(draw, b).episode()
	}
}

// restoringEpisodeOf returns an episode in which the service also returns from older copies.
func restoringEpisodeOf(b build) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		w := newWorld(draw, b)
		w.restores = true
		return w.episode()
	}
}

// relayEpisodeOf returns an episode in which all relays lose the service at once.
func relayEpisodeOf(b build) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		w := newWorld(draw, b)
		w.cutsRelays = true
		return w.episode()
	}
}

func TestMain(m *testing.M) {
	rapidtest.Main(m, 2000)
}

// TestChangesArriveInTimeAndNeverGoBack runs thousands of schedules of partitions, freezes, restarts, outages and lost
// history, with messages that are lost, duplicated and delayed.
func TestChangesArriveInTimeAndNeverGoBack(t *testing.T) {
	rapidtest.Check(t, episodeOf(correct))
}

// TestNothingOfAnEarlierEraIsKept adds returns of the service from older copies, whose lost revisions are given out again to
// other writes.
func TestNothingOfAnEarlierEraIsKept(t *testing.T) {
	rapidtest.Check(t, restoringEpisodeOf(correct))
}

// TestReceiversDoNotWaitForRelaysThatLostTheService partitions all relays from the service, but not from the receivers.
func TestReceiversDoNotWaitForRelaysThatLostTheService(t *testing.T) {
	rapidtest.Check(t, relayEpisodeOf(correct))
}

// faulty is a Feed that lacks one of the rules.
type faulty struct {
	*feed.Feed
	// episode is episodeOf by default.
	episode func(b build) rapidtest.Episode
	receive func(f *feed.Feed, now time.Time, n feed.Update) []waxwingpick.KeyChange
	mode    func(f *feed.Feed, now time.Time) feed.Mode
	// snapshotAt changes the position of a snapshot.
	snapshotAt func(f *feed.Feed, at waxwingpick.Position) waxwingpick.Position
}

func (n faulty) ApplySnapshot(now time.Time, entries []waxwingpick.Entry, at waxwingpick.Position) bool {
	if n.snapshotAt != nil {
		at = n.snapshotAt(n.Feed, at)
	}
	return n.Feed.ApplySnapshot(now, entries, at)
}

func (n faulty) ApplyUpdate(now time.Time, update feed.Update) []waxwingpick.KeyChange {
	if n.receive == nil {
		return n.Feed.ApplyUpdate(now, update)
	}
	return n.receive(n.Feed, now, update)
}

func (n faulty) Mode(now time.Time) feed.Mode {
	if n.mode == nil {
		return n.Feed.Mode(now)
	}
	return n.mode(n.Feed, now)
}

func TestOracleDetectsFaultyFeeds(t *testing.T) {
	for name, n := range map[string]faulty{
		"applies updates across a gap": {
			receive: func(f *feed.Feed, now time.Time, n feed.Update) []waxwingpick.KeyChange {
				n.Base = 0
				return f.ApplyUpdate(now, n)
			},
		},
		"applies older updates": {
			receive: func(f *feed.Feed, now time.Time, n feed.Update) []waxwingpick.KeyChange {
				f.ApplyUpdate(now, n)
				return n.Changes
			},
		},
		"trusts a relay that lost the service": {
			episode: relayEpisodeOf,
			receive: func(f *feed.Feed, now time.Time, n feed.Update) []waxwingpick.KeyChange {
				n.ServiceReachable = true
				return f.ApplyUpdate(now, n)
			},
		},
		"never reads again": {
			mode: func(f *feed.Feed, _ time.Time) feed.Mode {
				if !f.Synced() {
					return feed.ModeRead
				}
				return feed.ModeReceive
			},
		},
		"takes updates of another era for its own": {
			episode: restoringEpisodeOf,
			receive: func(f *feed.Feed, now time.Time, n feed.Update) []waxwingpick.KeyChange {
				n.Era = f.Position().Era
				return f.ApplyUpdate(now, n)
			},
		},
		"compares revisions of two eras": {
			episode: restoringEpisodeOf,
			snapshotAt: func(f *feed.Feed, at waxwingpick.Position) waxwingpick.Position {
				if f.Position().Era != 0 {
					at.Era = f.Position().Era
				}
				return at
			},
		},
		"always reads": {
			mode: func(*feed.Feed, time.Time) feed.Mode {
				return feed.ModeRead
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			episode := episodeOf
			if n.episode != nil {
				episode = n.episode
			}
			require.Error(t, rapidtest.FirstViolation(episode(func(id waxwingpick.InstanceID, jitter time.Duration) decider {
				variant := n
				variant.Feed = feed.New(id, zone, jitter)
				return variant
			})))
		})
	}
}
