package limitfleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

const (
	// Tick is the resolution of the simulation.
	Tick = 20 * time.Millisecond
	// responseTime bounds the time from a request to its response.
	responseTime = 120 * time.Millisecond
	// messageTime is the delay of a message without faults.
	messageTime = 2 * time.Millisecond
	// syncInterval is the time between two checks of a process for messages to send.
	syncInterval = 100 * time.Millisecond
	// smallFleet is the number of processes up to which each message goes to all others. In a larger fleet it goes to
	// fanOut of them.
	smallFleet = 8
	fanOut     = 3
	// listDelay is how long the lists of the other processes lag behind starts and kills.
	listDelay = 6 * time.Second
)

// Rand is a source of random numbers. IntN returns a number from 0 to n-1.
type Rand interface {
	IntN(n int) int
	Float64() float64
}

// Faults are the faults of the messages between processes.
type Faults struct {
	// Loss is the probability that a message is lost.
	Loss float64
	// MaxDelay bounds the random delay of messages.
	MaxDelay time.Duration
}

// process is one process of the fleet.
type process struct {
	id   waxwingpick.InstanceID
	gate *sendgate.Gate
	// started is the time of the last start, and excused the end of the last freeze or cut.
	started     time.Time
	excused     time.Time
	killedAt    time.Time
	frozenUntil time.Time
	cutUntil    time.Time
	// told is when the process first received the limit of each target in its current spell.
	told   map[waxwingpick.TargetID]time.Time
	served int
	due    float64
}

func (p *process) alive() bool { return p.killedAt.IsZero() }

// arrival is a request that a target received.
type arrival struct {
	at   time.Time
	from *process
	// told is when the sender first received the limit; zero if it had not.
	told time.Time
	// started is the start of the sender's incarnation.
	started time.Time
}

// spell is a period in which a target states one limit.
type spell struct {
	from, to  time.Time
	perSecond float64
}

// Target is a target with its request limit.
type Target struct {
	info     waxwingpick.Target
	limit    waxwingpick.Option[float64]
	spells   []spell
	arrivals []arrival
}

// event is a message or a response that is processed later.
type event struct {
	at time.Time
	do func()
}

// Fleet is a simulated fleet.
type Fleet struct {
	rand      Rand
	start     time.Time
	now       time.Time
	processes []*process
	targets   []*Target
	events    []event
	nextSync  time.Time
	faults    Faults
	demand    float64
	// unaware makes the processes ignore each other, as a naive variant does.
	unaware bool
	// messages counts the messages sent, and reports the limits in them.
	messages int
	reports  int
	refused  int
}

// New returns a fleet of processes and targets without limits.
func New(r Rand, processes, targets int) *Fleet {
	f := &Fleet{
		rand:  r,
		start: time.Unix(1_000_000, 0),
	}
	f.now = f.start
	for i := range targets {
		f.targets = append(f.targets, &Target{
			info: waxwingpick.Target{
				ID:              waxwingpick.TargetID(fmt.Sprint("target-", i)),
				StartUnixMillis: 1,
			},
		})
	}
	for range processes {
		f.Add()
	}
	return f
}

// SetFaults sets the faults of messages.
func (f *Fleet) SetFaults(faults Faults) { f.faults = faults }

// SetDemand sets the requests per second of the whole fleet.
func (f *Fleet) SetDemand(perSecond float64) { f.demand = perSecond }

// IgnoreOthers makes each process use all of a limit by itself.
func (f *Fleet) IgnoreOthers() {
	f.unaware = true
	for _, p := range f.processes {
		f.restart(p)
	}
}

// Elapsed returns the virtual time since the start.
func (f *Fleet) Elapsed() time.Duration { return f.now.Sub(f.start) }

// Targets returns the number of targets.
func (f *Fleet) Targets() int { return len(f.targets) }

// Processes returns the number of processes that were added.
func (f *Fleet) Processes() int { return len(f.processes) }

// Refused returns the number of requests that no target could receive.
func (f *Fleet) Refused() int { return f.refused }

// Messages returns the number of messages sent, and of the limits in them.
func (f *Fleet) Messages() (messages, reports int) { return f.messages, f.reports }

// Add adds a process. The others list it later.
func (f *Fleet) Add() {
	p := &process{
		id: waxwingpick.InstanceID(fmt.Sprint("process-", len(f.processes))),
	}
	f.processes = append(f.processes, p)
	f.restart(p)
}

// restart starts a new incarnation of a process, which knows no limits.
func (f *Fleet) restart(p *process) {
	p.gate = sendgate.New(p.id, time.Duration(f.rand.IntN(int(sendgate.TTLJitter))))
	p.started = f.now
	p.killedAt = time.Time{}
	p.told = make(map[waxwingpick.TargetID]time.Time)
	f.setList(p)
}

// setList gives a process the list of the others. Killed processes stay listed for listDelay.
func (f *Fleet) setList(p *process) {
	if f.unaware {
		return
	}
	var listed []waxwingpick.InstanceID
	for _, other := range f.processes {
		if other != p && (other.alive() || f.now.Sub(other.killedAt) < listDelay) {
			listed = append(listed, other.id)
		}
	}
	p.gate.SetProcesses(f.now, listed)
}

// Kill kills a process, or restarts it if it is not running.
func (f *Fleet) Kill(i int) {
	p := f.processes[i]
	if p.alive() {
		p.killedAt = f.now
		return
	}
	f.restart(p)
}

// Freeze stops a process for a time.
func (f *Fleet) Freeze(i int, d time.Duration) {
	p := f.processes[i]
	p.frozenUntil = f.now.Add(d)
	p.excused = p.frozenUntil
}

// Cut drops all messages from and to a process for a time. It still reaches the targets.
func (f *Fleet) Cut(i int, d time.Duration) {
	p := f.processes[i]
	p.cutUntil = f.now.Add(d)
	p.excused = p.cutUntil
}

// State makes a target state a limit, or none.
func (f *Fleet) State(i int, limit waxwingpick.Option[float64]) {
	t := f.targets[i]
	if t.limit == limit {
		return
	}
	if _, limited := t.limit.Get(); limited {
		t.spells[len(t.spells)-1].to = f.now
	}
	perSecond, limited := limit.Get()
	if limited {
		t.spells = append(t.spells, spell{
			from:      f.now,
			perSecond: perSecond,
		})
	}
	if _, before := t.limit.Get(); !before || !limited {
		for _, p := range f.processes {
			delete(p.told, t.info.ID)
		}
	}
	t.limit = limit
}

// Run advances the virtual time.
func (f *Fleet) Run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(Tick)
		f.deliver()
		if !f.now.Before(f.nextSync) {
			f.nextSync = f.now.Add(syncInterval)
			f.sync()
		}
		for _, p := range f.processes {
			if !p.alive() || f.now.Before(p.frozenUntil) {
				continue
			}
			p.due += f.demand / float64(len(f.processes)) * Tick.Seconds()
			for n := f.poisson(&p.due); n > 0; n-- {
				f.request(p)
			}
		}
	}
}

// poisson returns a random number of requests with the given mean, and resets the mean.
func (f *Fleet) poisson(mean *float64) int {
	limit, product, n := math.Exp(-*mean), f.rand.Float64(), 0
	for product > limit {
		product *= f.rand.Float64()
		n++
	}
	*mean = 0
	return n
}

// deliver processes the events that are due.
func (f *Fleet) deliver() {
	var due []event
	f.events = slices.DeleteFunc(f.events, func(e event) bool {
		if e.at.After(f.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	slices.SortStableFunc(due, func(a, b event) int { return a.at.Compare(b.at) })
	for _, e := range due {
		e.do()
	}
}

// sync makes all processes send their messages.
func (f *Fleet) sync() {
	for _, p := range f.processes {
		if !p.alive() || f.now.Before(p.frozenUntil) {
			continue
		}
		f.setList(p)
		p.gate.Changes(f.now)
		if reports := p.gate.Reports(f.now); len(reports) > 0 {
			for _, to := range f.receivers(p) {
				f.send(p, to, reports)
			}
		}
	}
}

func (f *Fleet) receivers(p *process) []*process {
	var others []*process
	for _, other := range f.processes {
		if other != p {
			others = append(others, other)
		}
	}
	if len(others) < smallFleet {
		return others
	}
	for i := range fanOut {
		j := i + f.rand.IntN(len(others)-i)
		others[i], others[j] = others[j], others[i]
	}
	return others[:fanOut]
}

func (f *Fleet) send(from, to *process, reports []sendgate.Report) {
	f.messages++
	f.reports += len(reports)
	if f.rand.Float64() < f.faults.Loss || f.now.Before(from.cutUntil) || f.now.Before(to.cutUntil) {
		return
	}
	delay := messageTime
	if f.faults.MaxDelay > 0 {
		delay += time.Duration(f.rand.IntN(int(f.faults.MaxDelay)))
	}
	f.events = append(f.events, event{
		at: f.now.Add(delay),
		do: func() {
			if !to.alive() || f.now.Before(to.frozenUntil) || f.unaware {
				return
			}
			to.gate.ProcessSeen(f.now, from.id)
			for _, r := range reports {
				to.gate.Apply(f.now, r)
			}
		},
	})
}

// request sends a request to a random target that may receive one.
func (f *Fleet) request(p *process) {
	blocked := p.gate.Blocked(f.now)
	first := f.rand.IntN(len(f.targets))
	for i := range f.targets {
		t := f.targets[(first+i)%len(f.targets)]
		if blocked.Has(t.info.ID) || !p.gate.Take(f.now, t.info.ID) {
			continue
		}
		p.served++
		t.arrivals = append(t.arrivals, arrival{
			at:      f.now,
			from:    p,
			told:    p.told[t.info.ID],
			started: p.started,
		})
		f.respond(p, t)
		return
	}
	f.refused++
}

// respond delivers the response to a request, which states the limit at the time of the request.
func (f *Fleet) respond(p *process, t *Target) {
	stated, started, sentAt := t.limit, p.started, f.now
	f.events = append(f.events, event{
		at: f.now.Add(time.Duration(1 + f.rand.IntN(int(responseTime)))),
		do: func() {
			if !p.alive() || p.started != started || f.now.Before(p.frozenUntil) {
				return
			}
			_, limited := stated.Get()
			if _, ok := p.told[t.info.ID]; limited && !ok {
				p.told[t.info.ID] = f.now
			}
			p.gate.Observe(f.now, sentAt, t.info, waxwingpick.Statement{
				RequestLimit: stated,
			}, true)
		},
	})
}
