package feed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/feed"
	"waxwingpick/internal/rapidtest"
)

const (
	// step is the resolution of the world's time.
	step = 50 * time.Millisecond
	// wait and slack are how long a call for changes waits, and how much later it is given up.
	wait  = time.Second
	slack = time.Second
	// contact is how long a process must have been without disruption to be in touch, bound how far it may be behind then.
	contact = 3 * time.Second
	bound   = 2 * time.Second
	// retryPause is the time after a call that failed.
	retryPause = 500 * time.Millisecond
	zone       = waxwingpick.AvailabilityZone("zone")
	// configKey is written with rising versions, as the operators' configuration is.
	configKey = "config"
)

var start = time.Unix(1_000_000, 0)

// decider is what the world drives: a Feed or a naive variant of it.
type decider interface {
	Known() bool
	Revision() int64
	Mode(now time.Time) feed.Mode
	Failed()
	Returned() time.Time
	HistoryGone()
	TakeSnapshot(now time.Time, entries []waxwingpick.Entry, revision int64) bool
	TakeChanges(now time.Time, after int64, changes []waxwingpick.KeyChange, revision int64) []waxwingpick.KeyChange
	Heard(now time.Time, n feed.News) []waxwingpick.KeyChange
	News(now time.Time) (feed.News, bool)
}

type build func(id waxwingpick.InstanceID, jitter time.Duration) decider

func sound(id waxwingpick.InstanceID, jitter time.Duration) decider {
	return feed.New(id, zone, jitter)
}

// kvStore is the key-value service with its history.
type kvStore struct {
	revision int64
	oldest   int64
	entries  map[string]waxwingpick.Entry
	history  []waxwingpick.KeyChange
	acked    []ack
	down     bool
}

// ack is when a version of the configuration was acknowledged.
type ack struct {
	version int64
	at      time.Time
}

func (s *kvStore) write(key string, removed bool) {
	s.revision++
	e := waxwingpick.Entry{
		Key:      key,
		Value:    []byte(fmt.Sprint(s.revision)),
		Revision: s.revision,
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

// node is one process with its call to the service.
type node struct {
	id       waxwingpick.InstanceID
	feed     decider
	state    map[string]int64
	asked    time.Time
	after    int64
	calling  bool
	next     time.Time
	told     time.Time
	frozen   bool
	cutStore bool
	// deaf and mute are cuts from the other processes in one direction each.
	deaf, mute bool
	// slept is the time in freezes, which the process's clock does not count.
	slept time.Duration
	// harmed is the last moment of a disruption.
	harmed time.Time
	calls  int
	inbox  []message
}

type message struct {
	news feed.News
	due  time.Time
}

// world is an availability zone of processes before one service.
type world struct {
	draw  rapidtest.Draw
	build build
	now   time.Time
	store kvStore
	nodes []*node
	// lossy loses, doubles and delays messages.
	lossy bool
	// unstable is the last moment at which the service was disrupted, calm the last at which anything was.
	unstable time.Time
	calm     time.Time
	started  int
}

func newWorld(draw rapidtest.Draw, b build) *world {
	w := &world{
		draw:  draw,
		build: b,
		now:   start,
		calm:  start,
		store: kvStore{
			entries: make(map[string]waxwingpick.Entry),
		},
	}
	w.store.write(configKey, false)
	for range 1 + draw(9) {
		w.nodes = append(w.nodes, w.newNode())
	}
	return w
}

func (w *world) newNode() *node {
	w.started++
	id := waxwingpick.InstanceID(fmt.Sprint("gateway", w.started))
	return &node{
		id:     id,
		feed:   w.build(id, time.Duration(w.draw(int(feed.Jitter)))),
		state:  make(map[string]int64),
		harmed: w.now,
	}
}

// disrupt changes one thing for the worse or the better.
func (w *world) disrupt() {
	w.calm = w.now
	n := w.nodes[w.draw(len(w.nodes))]
	if w.draw(3) == 0 {
		n = w.relay()
	}
	n.harmed = w.now
	switch w.draw(9) {
	case 0:
		w.nodes[slices.Index(w.nodes, n)] = w.newNode()
	case 1:
		n.frozen = !n.frozen
	case 2:
		n.cutStore = !n.cutStore
	case 3:
		n.deaf = !n.deaf
	case 4:
		n.mute = !n.mute
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

// relay returns a process that reads changes.
func (w *world) relay() *node {
	for _, n := range w.nodes {
		if n.feed.Mode(n.now(w)) == feed.ModeReads {
			return n
		}
	}
	return w.nodes[0]
}

// heal ends every disruption.
func (w *world) heal() {
	w.calm = w.now
	w.lossy = false
	if w.store.down {
		w.store.down = false
		w.unstable = w.now
	}
	for _, n := range w.nodes {
		if n.frozen || n.cutStore || n.deaf || n.mute {
			n.harmed = w.now
			n.frozen, n.cutStore, n.deaf, n.mute = false, false, false, false
		}
	}
}

// tick lets a step of time pass.
func (w *world) tick() error {
	w.now = w.now.Add(step)
	if w.store.down {
		w.unstable = w.now
	}
	for _, n := range w.nodes {
		if n.frozen || n.cutStore || n.deaf || n.mute {
			n.harmed = w.now
		}
		if n.frozen {
			n.slept += step
			continue
		}
		if err := w.step(n); err != nil {
			return err
		}
	}
	return w.check()
}

// now returns the time of a process's own clock.
func (n *node) now(w *world) time.Time {
	return w.now.Add(-n.slept)
}

func (w *world) step(n *node) error {
	var late []message
	for _, m := range n.inbox {
		if m.due.After(w.now) {
			late = append(late, m)
			continue
		}
		if err := n.apply(n.feed.Heard(n.now(w), m.news)); err != nil {
			return err
		}
	}
	n.inbox = late
	news, err := w.call(n)
	if err != nil {
		return err
	}
	if news || n.now(w).Sub(n.told) >= feed.TellPeriod {
		w.tell(n)
	}
	return nil
}

// call makes or ends the call of a process, and reports whether it brought anything new.
func (w *world) call(n *node) (bool, error) {
	if !n.calling {
		if n.now(w).Before(n.next) || n.feed.Mode(n.now(w)) == feed.ModeHears {
			return false, nil
		}
		n.calling, n.asked, n.after = true, n.now(w), n.feed.Revision()
		n.calls++
	}
	switch {
	case n.cutStore || w.store.down:
		// A cut shows by the call's limit, a service that is down at once.
		if w.store.down && !n.cutStore || n.now(w).Sub(n.asked) >= wait+slack {
			n.calling = false
			n.next = n.now(w).Add(retryPause)
			n.feed.Failed()
			return true, nil
		}
		return false, nil
	case !n.feed.Known():
		n.calling = false
		var entries []waxwingpick.Entry
		for _, e := range w.store.entries {
			entries = append(entries, e)
		}
		if !n.feed.TakeSnapshot(n.now(w), entries, w.store.revision) {
			return false, nil
		}
		fresh := make(map[string]int64)
		for _, e := range entries {
			fresh[e.Key] = e.Revision
		}
		if fresh[configKey] < n.state[configKey] {
			return false, fmt.Errorf("%s went back by a snapshot", n.id)
		}
		n.state = fresh
		return true, nil
	case n.after < w.store.oldest:
		n.calling = false
		n.feed.HistoryGone()
		return false, nil
	}
	changes := w.store.after(n.after)
	if len(changes) == 0 && n.now(w).Sub(n.asked) < wait {
		return false, nil
	}
	n.calling = false
	n.next = n.now(w).Add(step)
	news := n.feed.TakeChanges(n.now(w), n.after, changes, w.store.revision)
	return len(news) > 0, n.apply(news)
}

// apply takes changes, none of which may go back.
func (n *node) apply(changes []waxwingpick.KeyChange) error {
	for _, c := range changes {
		if c.Revision < n.state[c.Key] {
			return fmt.Errorf("%s went back from %d to %d of %s", n.id, n.state[c.Key], c.Revision, c.Key)
		}
		if c.Removed {
			delete(n.state, c.Key)
			continue
		}
		n.state[c.Key] = c.Revision
	}
	return nil
}

func (w *world) tell(n *node) {
	n.told = n.now(w)
	if n.feed.Mode(n.now(w)) == feed.ModeHears {
		return
	}
	news, ok := n.feed.News(n.now(w))
	if !ok || n.mute {
		return
	}
	for _, other := range w.nodes {
		if other == n || other.deaf {
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
				news: news,
				due:  w.now.Add(delay),
			})
		}
	}
}

// check fails where a process that is in touch is behind, or where too many processes read in a calm.
func (w *world) check() error {
	reading := 0
	for _, n := range w.nodes {
		if n.feed.Mode(n.now(w)) == feed.ModeReads {
			reading++
		}
		if w.now.Sub(n.harmed) < contact || w.now.Sub(w.unstable) < contact {
			continue
		}
		disrupted := n.harmed
		if w.unstable.After(disrupted) {
			disrupted = w.unstable
		}
		if returned := n.feed.Returned().Add(n.slept); returned.After(disrupted.Add(contact)) {
			return fmt.Errorf("%s takes the service to have been away until %v after it was last disrupted", n.id, returned.Sub(disrupted))
		}
		for _, a := range w.store.acked {
			if w.now.Sub(a.at) > bound && n.state[configKey] < a.version {
				return fmt.Errorf("%s has version %d, %v after %d was acknowledged", n.id, n.state[configKey], w.now.Sub(a.at), a.version)
			}
		}
	}
	if most := min(feed.Relays, len(w.nodes)); w.now.Sub(w.calm) > contact && reading > most && !w.disturbed() {
		return fmt.Errorf("%d of %d processes read in a calm", reading, len(w.nodes))
	}
	return nil
}

func (w *world) disturbed() bool {
	disturbed := w.store.down || w.lossy
	for _, n := range w.nodes {
		disturbed = disturbed || n.frozen || n.cutStore || n.deaf || n.mute
	}
	return disturbed
}

// episode disrupts a world by the draws, and heals it now and then.
func (w *world) episode() error {
	for range 30 {
		switch w.draw(6) {
		case 0, 1:
			w.disrupt()
		case 2:
			w.heal()
		case 3:
			w.store.write(fmt.Sprint("key", w.draw(4)), w.draw(3) == 0)
		case 4, 5:
			if !w.store.down {
				w.store.write(configKey, false)
				w.store.acked = append(w.store.acked, ack{
					version: w.store.revision,
					at:      w.now,
				})
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
	return nil
}

func episodeOf(b build) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		return newWorld(draw, b).episode()
	}
}

func TestMain(m *testing.M) {
	rapidtest.Main(m, 2000)
}

// TestChangesArriveInTimeAndNeverGoBack drives thousands of schedules of cuts, freezes, restarts, outages, lost history and
// messages that are lost, doubled and late.
func TestChangesArriveInTimeAndNeverGoBack(t *testing.T) {
	rapidtest.Check(t, episodeOf(sound))
}

// naive is a feed that lacks one of the rules.
type naive struct {
	*feed.Feed
	heard func(f *feed.Feed, now time.Time, n feed.News) []waxwingpick.KeyChange
	mode  func(f *feed.Feed, now time.Time) feed.Mode
}

func (n naive) Heard(now time.Time, news feed.News) []waxwingpick.KeyChange {
	if n.heard == nil {
		return n.Feed.Heard(now, news)
	}
	return n.heard(n.Feed, now, news)
}

func (n naive) Mode(now time.Time) feed.Mode {
	if n.mode == nil {
		return n.Feed.Mode(now)
	}
	return n.mode(n.Feed, now)
}

func TestOracleCatchesNaiveFeeds(t *testing.T) {
	for name, n := range map[string]naive{
		"takes what does not continue": {
			heard: func(f *feed.Feed, now time.Time, n feed.News) []waxwingpick.KeyChange {
				n.Base = 0
				return f.Heard(now, n)
			},
		},
		"takes what is older": {
			heard: func(f *feed.Feed, now time.Time, n feed.News) []waxwingpick.KeyChange {
				f.Heard(now, n)
				return n.Changes
			},
		},
		"believes a relay that lost the service": {
			heard: func(f *feed.Feed, now time.Time, n feed.News) []waxwingpick.KeyChange {
				n.Touch = true
				return f.Heard(now, n)
			},
		},
		"never reads again": {
			mode: func(f *feed.Feed, _ time.Time) feed.Mode {
				if !f.Known() {
					return feed.ModeReads
				}
				return feed.ModeHears
			},
		},
		"always reads": {
			mode: func(*feed.Feed, time.Time) feed.Mode {
				return feed.ModeReads
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, rapidtest.FirstViolation(episodeOf(func(id waxwingpick.InstanceID, jitter time.Duration) decider {
				variant := n
				variant.Feed = feed.New(id, zone, jitter)
				return variant
			})))
		})
	}
}
