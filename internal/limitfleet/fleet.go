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
	Tick = 5 * time.Millisecond
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
	// tokenTimeout is how long a request waits for the response of an owner, and maxTokenRequests bounds its token requests.
	tokenTimeout     = 50 * time.Millisecond
	maxTokenRequests = 2
	// headerBytes is the size of a message without reports, with the headers of IP and UDP, and reportBytes that of a report
	// or a token response.
	headerBytes = 60
	reportBytes = 45
	// listInterval is the time between two readings of the list, and listDelay the time for which killed processes stay on
	// it.
	listInterval = time.Second
	listDelay    = 6 * time.Second
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
	listedAt    time.Time
	cutUntil    time.Time
	// learnedAt is when the process first received the limit of each target in its current period.
	learnedAt map[waxwingpick.TargetID]time.Time
	// served counts the requests sent to targets, bytes those of messages sent and received.
	served int
	bytes  int
}

func (p *process) alive() bool { return p.killedAt.IsZero() }

// running reports whether the process is neither killed nor frozen.
func (p *process) running(now time.Time) bool {
	return p.alive() && !now.Before(p.frozenUntil)
}

// arrival is a request that a target received.
type arrival struct {
	at   time.Time
	from *process
	// learnedAt is when the sender first received the limit; zero if it had not.
	learnedAt time.Time
	// started is the start of the sender's incarnation.
	started time.Time
}

// period is a period in which a target states one limit.
type period struct {
	from, to  time.Time
	perSecond float64
}

// Target is a target with its request limit.
type Target struct {
	info     waxwingpick.Target
	limit    waxwingpick.Option[float64]
	periods  []period
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
	refused int
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

// SetFaults sets the faults of all following messages.
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

// RefusedPart returns the part of the requests since the last ResetCounts that no target could receive.
func (f *Fleet) RefusedPart() float64 {
	served := 0
	for _, p := range f.processes {
		served += p.served
	}
	return float64(f.refused) / float64(max(1, f.refused+served))
}

// Served returns the least and the mean number of requests that a process served since the last ResetCounts.
func (f *Fleet) Served() (least, mean float64) {
	least = float64(f.processes[0].served)
	total := 0.0
	for _, p := range f.processes {
		least = min(least, float64(p.served))
		total += float64(p.served)
	}
	return least, total / float64(len(f.processes))
}

// BusiestBytes returns the largest number of bytes that a process sent and received since the last ResetCounts.
func (f *Fleet) BusiestBytes() float64 {
	most := 0
	for _, p := range f.processes {
		most = max(most, p.bytes)
	}
	return float64(most)
}

// ResetCounts sets the counts of requests and bytes to zero.
func (f *Fleet) ResetCounts() {
	f.refused = 0
	for _, p := range f.processes {
		p.served, p.bytes = 0, 0
	}
}

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
	p.gate = sendgate.New(p.id, f.rand.Float64)
	p.started = f.now
	p.killedAt = time.Time{}
	p.learnedAt = make(map[waxwingpick.TargetID]time.Time)
	f.setList(p)
}

// setList gives a process the list of the others. Killed processes stay listed for listDelay.
func (f *Fleet) setList(p *process) {
	p.listedAt = f.now
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
		t.periods[len(t.periods)-1].to = f.now
	}
	perSecond, limited := limit.Get()
	if limited {
		t.periods = append(t.periods, period{
			from:      f.now,
			perSecond: perSecond,
		})
	}
	if _, before := t.limit.Get(); !before || !limited {
		for _, p := range f.processes {
			delete(p.learnedAt, t.info.ID)
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
		for n := f.poisson(f.demand * Tick.Seconds()); n > 0; n-- {
			// Callers of a process that does not run get no response.
			if p := f.processes[f.rand.IntN(len(f.processes))]; p.running(f.now) {
				f.request(p, f.rand.IntN(len(f.targets)), 0)
			}
		}
	}
}

// poisson returns a random number of requests with the given mean.
func (f *Fleet) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), f.rand.Float64(), 0
	for product > limit {
		product *= f.rand.Float64()
		n++
	}
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
		if !p.running(f.now) {
			continue
		}
		if f.now.Sub(p.listedAt) >= listInterval {
			f.setList(p)
		}
		p.gate.Changes(f.now)
		if reports := p.gate.Reports(f.now); len(reports) > 0 {
			for _, to := range f.receivers(p) {
				f.sendReports(p, to, reports)
			}
		}
		for _, a := range p.gate.Pings(f.now) {
			f.sendTokenRequest(p, a, func() {})
		}
	}
}

// request sends a request to the first target that may receive one, after the given number of token requests. The order of the targets
// begins with the given one.
func (f *Fleet) request(p *process, first, tokenRequests int) {
	blocked := p.gate.Blocked(f.now, tokenRequests < maxTokenRequests)
	for i := range f.targets {
		index := (first + i) % len(f.targets)
		t := f.targets[index]
		if blocked.Has(t.info.ID) {
			continue
		}
		switch p.gate.Take(f.now, t.info.ID) {
		case sendgate.AdmissionTaken:
			f.serve(p, t)
			return
		case sendgate.AdmissionRequestTokens:
			if a, ok := p.gate.RequestTokens(f.now, t.info.ID); ok {
				f.sendTokenRequest(p, a, func() { f.request(p, index, tokenRequests+1) })
				return
			}
		case sendgate.AdmissionRefused:
		}
	}
	f.refused++
}

// serve sends a request to a target.
func (f *Fleet) serve(p *process, t *Target) {
	p.served++
	t.arrivals = append(t.arrivals, arrival{
		at:        f.now,
		from:      p,
		learnedAt: p.learnedAt[t.info.ID],
		started:   p.started,
	})
	f.respond(p, t)
}

// respond delivers the response to a request, which states the limit at the time of the request.
func (f *Fleet) respond(p *process, t *Target) {
	stated, started, sentAt := t.limit, p.started, f.now
	f.events = append(f.events, event{
		at: f.now.Add(time.Duration(1 + f.rand.IntN(int(responseTime)))),
		do: func() {
			if !p.running(f.now) || !p.started.Equal(started) {
				return
			}
			if _, limited := stated.Get(); limited {
				f.learn(p, t.info.ID)
			}
			p.gate.Observe(f.now, sentAt, t.info, waxwingpick.Statement{
				RequestLimit: stated,
			}, true)
		},
	})
}
