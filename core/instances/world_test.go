package instances_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"waxwingpick"
	"waxwingpick/core/instances"
	"waxwingpick/core/spread"
)

const (
	step = 50 * time.Millisecond
	// maxLag is the greatest age of what the platform serves.
	maxLag = 2 * time.Second
	// maxTrip is the greatest time of a message or a read that is not lost.
	maxTrip = 400 * time.Millisecond
	// callLimit is when a process gives up a call.
	callLimit = time.Second
	// tellTale is the row whose address tells which version of the list it is part of.
	tellTale = "tell-tale"
)

// process is one process of the system with a clock of its own.
type process struct {
	self     waxwingpick.Instance
	offset   time.Duration
	list     *instances.List
	schedule *instances.Schedule
	gossip   *spread.Gossip
	life     int
	down     bool
	paused   bool
	reading  bool
	reads    int
	asks     waxwingpick.InstanceID
	// cutPlatform and cutPeers say what the process can't reach.
	cutPlatform bool
	cutPeers    bool
	// reachedAt is since when it could read the platform all the time.
	reachedAt time.Time
}

// event is a message or an answer under way.
type event struct {
	at  time.Time
	to  *process
	run func()
}

// world is the platform and all processes; its faults come from its methods.
type world struct {
	now      time.Time
	random   *rand.Rand
	procs    []*process
	events   []event
	versions []time.Time
	down     bool
	reads    int
	naive    naive
	// absent is the number of rows of the list that no process stands behind, which make it long.
	absent int
}

// naive is what a way that was weighed does otherwise; the oracle has to catch it.
type naive struct {
	// fresh takes a list that was told of for as old as the message, and not for as old as the read.
	fresh bool
	// noFallBack leaves the reads to the entries whose turn it is.
	noFallBack bool
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

// row returns the instance of a process; each third one is an entry.
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

// rows returns a version of the platform's list; each changes the tell-tale and the leave of one instance.
func (w *world) rows(version int) []waxwingpick.Instance {
	rows := []waxwingpick.Instance{{
		ID:      tellTale,
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
	p.life++
	p.down, p.paused, p.reading = false, false, false
	p.list = instances.NewList()
	p.schedule = instances.NewSchedule(p.self, rand.New(rand.NewPCG(w.random.Uint64(), 2)))
	p.gossip = spread.NewGossip(p.self, rand.New(rand.NewPCG(w.random.Uint64(), 3)))
	p.reachedAt = w.now
}

// clock returns the process's own time.
func (w *world) clock(p *process) time.Time {
	return w.now.Add(p.offset)
}

func (w *world) change() {
	w.versions = append(w.versions, w.now)
}

// served draws which version a read gets now, as replicas of the platform lag differently.
func (w *world) served() int {
	seen := w.now.Add(-time.Duration(w.random.Int64N(int64(maxLag))))
	i, _ := slices.BinarySearchFunc(w.versions, seen, time.Time.Compare)
	return max(i-1, 0)
}

// advance lets all processes run.
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

// deliver hands over what has arrived; what is meant for a paused process waits, for as long as that takes.
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
	for _, i := range p.gossip.Start(now, w.known(p)) {
		w.ask(p, i.ID)
	}
	if p.list.Aging(now) {
		p.gossip.Hurry(now)
	}
	if p.asks != "" {
		w.ask(p, p.asks)
		p.asks = ""
	}
}

func (w *world) skips(p *process) bool {
	return w.naive.noFallBack && p.list.Known() && p.self.Kind != waxwingpick.KindEntry
}

func (w *world) known(p *process) []waxwingpick.Instance {
	return slices.DeleteFunc(slices.Clone(p.list.Instances()), func(i waxwingpick.Instance) bool {
		return i.ID == tellTale || i.Control == ""
	})
}

// read asks the platform; the answer is made on its way and may wait at a paused process.
func (w *world) read(p *process) {
	p.reading = true
	p.reads++
	w.reads++
	asked, life := w.clock(p), p.life
	failed := w.down || p.cutPlatform
	var rows []waxwingpick.Instance
	w.later(p, func() {
		if !failed {
			rows = w.rows(w.served())
		}
	}, func() {
		if p.life != life {
			return
		}
		p.reading = false
		now := w.clock(p)
		if failed {
			p.schedule.Failed(now, p.list)
			return
		}
		if p.list.Read(asked, now, rows) {
			p.gossip.News(now)
		}
		p.schedule.Succeeded(now, p.list)
	})
}

// later runs one thing after a trip, and another at a process after a second one.
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

// ask opens an exchange with another process.
func (w *world) ask(p *process, id waxwingpick.InstanceID) {
	i := slices.IndexFunc(w.procs, func(o *process) bool {
		return o.self.ID == id
	})
	peer := w.procs[i]
	asked, life := w.clock(p), p.life
	hello := p.list.Status(asked)
	w.events = append(w.events, event{
		at: w.now.Add(w.trip()),
		to: peer,
		run: func() {
			if peer.down || peer.cutPeers || p.cutPeers {
				return
			}
			w.answer(p, peer, asked, life, hello)
		},
	})
}

func (w *world) answer(p, peer *process, asked time.Time, life int, hello waxwingpick.ListStatus) {
	now := w.clock(peer)
	status := peer.list.Status(now)
	var changes *waxwingpick.ListChanges
	if c, ok := peer.list.Changes(now, hello); ok {
		changes = &c
	}
	if peer.list.Newer(now, hello) {
		peer.asks = p.self.ID
		peer.gossip.Differs(now)
	}
	w.events = append(w.events, event{
		at: w.now.Add(w.trip()),
		to: p,
		run: func() {
			if p.life == life && !p.down && w.clock(p).Sub(asked) < callLimit {
				w.take(p, asked, status, changes)
			}
		},
	})
}

func (w *world) take(p *process, asked time.Time, status waxwingpick.ListStatus, changes *waxwingpick.ListChanges) {
	if w.naive.fresh {
		asked = w.clock(p)
		status.AgeMillis = 0
	}
	news, err := p.list.Take(asked, w.clock(p), status, changes)
	if err == nil && news {
		p.gossip.News(w.clock(p))
	}
}

// held returns the version that a process acts under.
func held(p *process) int {
	rows := p.list.Instances()
	i, _ := slices.BinarySearchFunc(rows, tellTale, func(r waxwingpick.Instance, id string) int {
		return cmp.Compare(string(r.ID), id)
	})
	version, _ := strconv.Atoi(rows[i].Control)
	return version
}

// check is the oracle: what a process holds is no younger than it says, and a process that reaches the platform acts
// under no older list than the bound allows.
func (w *world) check() error {
	const bound = instances.MaxStaleAfter + instances.MaxRetryDelay*3/2 + 4*maxTrip
	for _, p := range w.procs {
		if p.down || !p.list.Known() {
			continue
		}
		readAt := p.list.ReadAt().Add(-p.offset)
		if v := held(p); v+1 < len(w.versions) && readAt.After(w.versions[v+1].Add(maxLag)) {
			return fmt.Errorf("%s says that version %d was read at %s, which no read gave after %s", p.self.ID, v, readAt, w.versions[v+1].Add(maxLag))
		}
		if age := w.now.Sub(readAt); w.now.Sub(p.reachedAt) > bound && age > bound {
			return fmt.Errorf("%s reaches the platform and acts under a list of %s", p.self.ID, age)
		}
	}
	return nil
}

// heal ends all faults.
func (w *world) heal() {
	w.down = false
	for _, p := range w.procs {
		p.paused, p.cutPlatform, p.cutPeers = false, false, false
		if p.down {
			w.start(p)
		}
	}
}

// behind names a process that doesn't hold the newest version.
func (w *world) behind() error {
	for _, p := range w.procs {
		if !p.list.Known() || held(p) != len(w.versions)-1 {
			return fmt.Errorf("%s does not hold version %d", p.self.ID, len(w.versions)-1)
		}
	}
	return nil
}
