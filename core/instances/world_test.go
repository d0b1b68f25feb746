package instances_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"waxwingpick"
	"waxwingpick/core/gossip"
	"waxwingpick/core/instances"
)

const (
	step = 50 * time.Millisecond
	// maxLag is the maximum age of a list that the platform serves.
	maxLag = 2 * time.Second
	// maxTrip is the maximum one-way time of a message or read that is not lost.
	maxTrip = 400 * time.Millisecond
	// callLimit is the time-out of a call.
	callLimit = time.Second
	// versionRow is the ID of the row whose address is the version of the list.
	versionRow = "tell-tale"
)

// process is one process of the system with its own clock.
type process struct {
	self        waxwingpick.Instance
	offset      time.Duration
	list        *instances.List
	schedule    *instances.Schedule
	gossip      *gossip.Gossip
	incarnation int
	down        bool
	paused      bool
	reading     bool
	reads       int
	nextPeer    waxwingpick.InstanceID
	// cutPlatform and cutPeers are set if the process cannot reach the platform or its peers.
	cutPlatform bool
	cutPeers    bool
	// reachedAt is the time since which the process has been able to read the platform without interruption.
	reachedAt time.Time
}

// event is a message or response in transit.
type event struct {
	at  time.Time
	to  *process
	run func()
}

// world simulates the platform and all processes. Its methods inject faults.
type world struct {
	now      time.Time
	random   *rand.Rand
	procs    []*process
	events   []event
	versions []time.Time
	down     bool
	reads    int
	naive    naive
	// absent is the number of rows without a process, which make the list long.
	absent int
}

// naive selects a rejected alternative design. The oracle must detect its violations.
type naive struct {
	// fresh counts the age of a received list from the message instead of the read.
	fresh bool
	// noFallback restricts reads after the first one to entries.
	noFallback bool
}

func newWorld(seed uint64, size, absent int, n naive) *world {
	w := &world{
		absent: absent,
		now:    time.Unix(1_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		naive:  n,
	}
	w.versions = []time.Time{w.now.Add(-time.Hour)}
	for i := range size {
		p := &process{
			self:   w.row(i),
			offset: time.Duration(w.random.Int64N(int64(2*time.Hour))) - time.Hour,
		}
		w.procs = append(w.procs, p)
		w.start(p)
	}
	return w
}

// row returns the instance of a process. Every third one is an entry.
func (w *world) row(i int) waxwingpick.Instance {
	r := waxwingpick.Instance{
		ID:      waxwingpick.InstanceID(fmt.Sprintf("i%03d", i)),
		Kind:    waxwingpick.KindTarget,
		Zone:    waxwingpick.AvailabilityZone(fmt.Sprintf("sierra-%d", i/3%2)),
		Control: strconv.Itoa(i),
	}
	if i%3 == 0 {
		r.Kind = waxwingpick.KindEntry
	}
	return r
}

// rows returns a version of the platform's list. Each version differs in the version row and in the data addresses of
// every second instance.
func (w *world) rows(version int) []waxwingpick.Instance {
	rows := []waxwingpick.Instance{{
		ID:      versionRow,
		Kind:    waxwingpick.KindTarget,
		Control: strconv.Itoa(version),
		Leaving: true,
	}}
	for i := range w.procs {
		r := w.row(i)
		r.Data = strconv.Itoa(version * (i % 2))
		rows = append(rows, r)
	}
	for i := range w.absent {
		rows = append(rows, waxwingpick.Instance{
			ID:   waxwingpick.InstanceID(fmt.Sprintf("j%03d", i)),
			Kind: waxwingpick.KindTarget,
			Zone: "sierra-2",
		})
	}
	return rows
}

func (w *world) start(p *process) {
	p.incarnation++
	p.down, p.paused, p.reading = false, false, false
	p.list = instances.NewList()
	p.schedule = instances.NewSchedule(p.self, rand.New(rand.NewPCG(w.random.Uint64(), 2)))
	p.gossip = gossip.NewGossip(p.self, rand.New(rand.NewPCG(w.random.Uint64(), 3)))
	p.reachedAt = w.now
}

// clock returns the time on the process's clock.
func (w *world) clock(p *process) time.Time {
	return w.now.Add(p.offset)
}

func (w *world) change() {
	w.versions = append(w.versions, w.now)
}

// served returns a random version for a read at the current time, because replicas of the platform lag differently.
func (w *world) served() int {
	servedAt := w.now.Add(-time.Duration(w.random.Int64N(int64(maxLag))))
	i, _ := slices.BinarySearchFunc(w.versions, servedAt, time.Time.Compare)
	return max(i-1, 0)
}

// advance runs all processes for a time.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		for _, p := range w.procs {
			if p.down || p.paused || p.cutPlatform || w.down {
				p.reachedAt = w.now
			}
			if !p.down && !p.paused {
				w.run(p)
			}
		}
	}
}

// deliver runs the events that are due. Events for a paused process wait until it continues.
func (w *world) deliver() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) || e.to.paused {
			w.events = append(w.events, e)
			continue
		}
		e.run()
	}
}

func (w *world) run(p *process) {
	now := w.clock(p)
	p.list.Expire(now)
	if !p.reading && !now.Before(p.schedule.Next(p.list)) && !w.skips(p) {
		w.read(p)
	}
	if now.Before(p.gossip.Round()) {
		return
	}
	for _, i := range p.gossip.Start(now, w.peers(p)) {
		w.exchange(p, i.ID)
	}
	if p.list.Aging(now) {
		p.gossip.Expedite(now)
	}
	if p.nextPeer != "" {
		w.exchange(p, p.nextPeer)
		p.nextPeer = ""
	}
}

func (w *world) skips(p *process) bool {
	return w.naive.noFallback && p.list.Known() && p.self.Kind != waxwingpick.KindEntry
}

func (w *world) peers(p *process) []waxwingpick.Instance {
	return slices.DeleteFunc(slices.Clone(p.list.Instances()), func(i waxwingpick.Instance) bool {
		return i.ID == versionRow || i.Control == ""
	})
}

// read requests the list from the platform. The list is chosen when the request arrives there, and the response may
// wait at a paused process.
func (w *world) read(p *process) {
	p.reading = true
	p.reads++
	w.reads++
	requestedAt, incarnation := w.clock(p), p.incarnation
	failed := w.down || p.cutPlatform
	var rows []waxwingpick.Instance
	w.later(p, func() {
		if !failed {
			rows = w.rows(w.served())
		}
	}, func() {
		if p.incarnation != incarnation {
			return
		}
		p.reading = false
		now := w.clock(p)
		if failed {
			p.schedule.Failed(now, p.list)
			return
		}
		if p.list.Read(requestedAt, now, rows) {
			p.gossip.Updated(now)
		}
		p.schedule.Succeeded(now, p.list)
	})
}

// later runs the first function after a one-way delay, and the second at a process after another one.
func (w *world) later(p *process, first, second func()) {
	w.events = append(w.events, event{
		at: w.now.Add(w.trip()),
		to: &process{},
		run: func() {
			first()
			w.events = append(w.events, event{
				at:  w.now.Add(w.trip()),
				to:  p,
				run: second,
			})
		},
	})
}

func (w *world) trip() time.Duration {
	return time.Duration(w.random.Int64N(int64(maxTrip)))
}

// exchange starts an exchange with another process.
func (w *world) exchange(p *process, id waxwingpick.InstanceID) {
	i := slices.IndexFunc(w.procs, func(o *process) bool {
		return o.self.ID == id
	})
	peer := w.procs[i]
	requestedAt, incarnation := w.clock(p), p.incarnation
	hello := p.list.Status(requestedAt)
	w.events = append(w.events, event{
		at: w.now.Add(w.trip()),
		to: peer,
		run: func() {
			if peer.down || peer.cutPeers || p.cutPeers {
				return
			}
			w.respond(p, peer, requestedAt, incarnation, hello)
		},
	})
}

func (w *world) respond(p, peer *process, requestedAt time.Time, incarnation int, hello waxwingpick.ListStatus) {
	now := w.clock(peer)
	status := peer.list.Status(now)
	var changes *waxwingpick.ListChanges
	if c, ok := peer.list.Changes(now, hello); ok {
		changes = &c
	}
	if peer.list.Newer(now, hello) {
		peer.nextPeer = p.self.ID
		peer.gossip.Differs(now)
	}
	w.events = append(w.events, event{
		at: w.now.Add(w.trip()),
		to: p,
		run: func() {
			if p.incarnation == incarnation && !p.down && w.clock(p).Sub(requestedAt) < callLimit {
				w.take(p, requestedAt, status, changes)
			}
		},
	})
}

func (w *world) take(p *process, requestedAt time.Time, status waxwingpick.ListStatus, changes *waxwingpick.ListChanges) {
	if w.naive.fresh {
		requestedAt = w.clock(p)
		status.AgeMillis = 0
	}
	changed, err := p.list.Apply(requestedAt, w.clock(p), status, changes)
	if err == nil && changed {
		p.gossip.Updated(w.clock(p))
	}
}

// heldVersion returns the version of the list that a process uses.
func heldVersion(p *process) int {
	rows := p.list.Instances()
	i, _ := slices.BinarySearchFunc(rows, versionRow, func(r waxwingpick.Instance, id string) int {
		return cmp.Compare(string(r.ID), id)
	})
	version, _ := strconv.Atoi(rows[i].Control)
	return version
}

// check is the oracle. No list may be older than its process reports, and the list of a process that can reach the
// platform may not be older than the bound.
func (w *world) check() error {
	const bound = instances.MaxStaleAfter + instances.MaxRetryDelay*3/2 + 4*maxTrip
	for _, p := range w.procs {
		if p.down || !p.list.Known() {
			continue
		}
		readAt := p.list.ReadAt().Add(-p.offset)
		if v := heldVersion(p); v+1 < len(w.versions) && readAt.After(w.versions[v+1].Add(maxLag)) {
			return fmt.Errorf("%s reports version %d as read at %s, but no read returned it after %s", p.self.ID, v, readAt, w.versions[v+1].Add(maxLag))
		}
		if age := w.now.Sub(readAt); w.now.Sub(p.reachedAt) > bound && age > bound {
			return fmt.Errorf("%s can reach the platform but uses a list of age %s", p.self.ID, age)
		}
	}
	return nil
}

// endFaults ends all faults and restarts processes that are down.
func (w *world) endFaults() {
	w.down = false
	for _, p := range w.procs {
		p.paused, p.cutPlatform, p.cutPeers = false, false, false
		if p.down {
			w.start(p)
		}
	}
}

// behind returns an error if a process does not have the newest version.
func (w *world) behind() error {
	for _, p := range w.procs {
		if !p.list.Known() || heldVersion(p) != len(w.versions)-1 {
			return fmt.Errorf("%s does not hold version %d", p.self.ID, len(w.versions)-1)
		}
	}
	return nil
}
