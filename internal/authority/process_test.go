package authority_test

import (
	"context"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/executor"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
	"waxwingpick/core/spread"
	"waxwingpick/internal/standin/memkv"
)

// candidate is what an entry hosts.
type candidate interface {
	Next(now time.Time) kvcall.Call
	Apply(now time.Time, r kvcall.Result)
	Holds() bool
	SetDesired(d plan.Desired)
	Hint(heard plan.Record)
}

// maxStagesAtOnce is far above the stages of any sequence of calls that a process has reason to make without a wait.
const maxStagesAtOnce = 300

// process hosts the machines of one process. A call goes through three stages, between which anything may happen:
// it is asked for, it takes effect, its result is taken.
type process struct {
	world  *world
	slot   int
	name   string
	client *memkv.Client

	authority candidate
	executor  *executor.Executor
	engine    *engine
	store     *spread.Store
	gossip    *spread.Gossip
	// seen is the revision of each record at the last look of the oracle.
	seen map[string]int64
	// decoded is the plan at revision decodedAt.
	decoded   plan.Record
	decodedAt int64

	paused, cutPeers, healthy bool

	call     kvcall.Call
	step     executor.Step
	begun    bool
	effected bool
	kvResult kvcall.Result
	result   executor.Result

	// answer is what a peer sent and the process has not read yet.
	answer *waxwingpick.PeerMessage
	hint   plan.Record

	// staged counts the stages at the time stagedAt.
	staged   int
	stagedAt time.Time

	requests int
	draining bool
}

// run moves the process on by at most n stages, and ends one of its requests.
func (p *process) run(n int) {
	if p.paused {
		return
	}
	p.requests = max(p.requests-1, 0)
	for range n {
		if waits := p.stage(); waits {
			break
		}
	}
}

// stage moves the outstanding call one stage on, and reports whether there is nothing to do.
func (p *process) stage() (waits bool) {
	if p.paused {
		return true
	}
	p.countStage()
	switch {
	case !p.begun:
		p.begin()
		return !p.begun
	case !p.effected:
		p.effect()
	default:
		p.deliver()
	}
	return false
}

// countStage shows the oracle a process that goes on and on without waiting.
func (p *process) countStage() {
	now := p.world.timers.Now()
	if !now.Equal(p.stagedAt) {
		p.stagedAt = now
		p.staged = 0
	}
	p.staged++
	if p.begun && p.staged > maxStagesAtOnce {
		p.world.oracle.breaks("%s does not wait: %v, %v", p.name, p.call.Kind, p.step.Kind)
	}
}

func (p *process) begin() {
	now := p.world.timers.Now()
	heard := p.heard()
	if p.authority != nil {
		p.authority.Hint(heard)
		p.authority.SetDesired(p.world.desired())
		p.call = p.authority.Next(now)
		p.begun = p.call.Kind != kvcall.Wait
		p.rememberProposal()
		return
	}
	p.executor.Hint(heard)
	p.step = p.executor.Next(now)
	p.begun = p.step.Kind != executor.Wait
	if p.step.Kind == executor.Submit && p.requests > 0 {
		p.world.oracle.breaks("%s sends an order while %d requests run", p.name, p.requests)
	}
}

// heard returns the plan that other processes told of.
func (p *process) heard() plan.Record {
	body, revision := p.store.Get(plan.Key(service))
	if revision != p.decodedAt {
		p.decodedAt = revision
		p.decoded, _ = plan.Decode(service, body)
	}
	return p.decoded
}

// rememberProposal keeps what the authority is about to write, as a stale process's hint.
func (p *process) rememberProposal() {
	if p.call.Kind != kvcall.CompareAndSwap || p.call.Key != plan.Key(service) {
		return
	}
	if rec, err := plan.Decode(service, p.call.Value); err == nil {
		p.world.hints = append(p.world.hints, rec)
	}
}

func (p *process) effect() {
	p.effected = true
	if p.authority != nil {
		p.kvResult = p.world.call(p, p.call)
		return
	}
	p.result = executor.Result{}
	switch p.step.Kind {
	case executor.Wait:
	case executor.KeyValue:
		p.result.KeyValue = p.mutate(p.world.call(p, p.step.Call))
	case executor.ReadEngine:
		p.result.Engine = p.engine.state(p.world.timers.Now())
		if p.engine.unreachable || (!p.healthy && p.world.fate() != memkv.FateDeliver) {
			p.result.Err = waxwingpick.ErrEngineUnreachable
		}
	case executor.Submit:
		p.result.Err = p.submit()
	case executor.Drain:
		p.draining = true
		p.result.Drained = p.requests == 0
	case executor.Undrain:
		p.draining = false
	}
}

// mutate breaks a rule of the executor from outside, where the world asks for it.
func (p *process) mutate(r kvcall.Result) kvcall.Result {
	key := p.step.Call.Key
	if p.step.Call.Kind != kvcall.Get || r.Err != nil {
		return r
	}
	if p.world.mutant == actOnHint && key == plan.Key(service) && p.hint.Revision > 0 {
		r.Entry.Value = mustJSON(p.hint)
		r.Entry.Revision = max(r.Entry.Revision, 1)
	}
	if p.world.mutant == impatient && key == executor.Key(p.engine.target) {
		r.Entry.Value = []byte(`{"held":false}`)
		r.Entry.Revision = max(r.Entry.Revision, 0)
	}
	if p.world.mutant == hasty && key == executor.Key(p.engine.target) && !r.Entry.Exists() {
		r.Entry, r.Err = p.client.CompareAndSwap(context.Background(), key, 0, []byte(`{"held":false}`), 0)
	}
	return r
}

// submit sends the order; it may arrive late, or its answer may be lost.
func (p *process) submit() error {
	now := p.world.timers.Now()
	if now.After(p.step.SendBy) {
		return waxwingpick.ErrEngineUnreachable
	}
	if p.healthy {
		return p.engine.submit(now, p.step.Order)
	}
	if p.world.fate() == memkv.FateDeliver {
		return p.engine.submit(now, p.step.Order)
	}
	switch p.world.choose.intn(3) {
	case 0:
		p.fly()
		return waxwingpick.ErrEngineLost
	case 1:
		_ = p.engine.submit(now, p.step.Order)
		return waxwingpick.ErrEngineLost
	case 2:
		return waxwingpick.ErrEngineRefused
	}
	return p.engine.submit(now, p.step.Order)
}

func (p *process) fly() {
	p.world.flights = append(p.world.flights, flight{
		engine:  p.engine,
		order:   p.step.Order,
		arrives: p.world.timers.Now().Add(p.step.Timeout),
	})
}

func (p *process) deliver() {
	p.begun = false
	p.effected = false
	now := p.world.timers.Now()
	if p.authority == nil {
		p.executor.Apply(now, p.result)
		return
	}
	p.authority.Apply(now, p.kvResult)
	if p.kvResult.Err == nil && p.call.Key == plan.Key(service) && p.kvResult.Entry.Exists() {
		p.accept(p.kvResult.Entry)
	}
}

// kill ends the process; what it sent may still arrive.
func (p *process) kill() {
	w := p.world
	if p.begun && !p.effected && p.step.Kind == executor.Submit && p.executor != nil && !w.timers.Now().After(p.step.SendBy) {
		p.fly()
	}
	if p.begun && !p.effected && p.authority != nil && w.choose.intn(2) == 0 {
		p.effect()
	}
	slot := w.slots[p.slot]
	for i, other := range slot {
		if other == p {
			w.slots[p.slot] = append(slot[:i:i], slot[i+1:]...)
		}
	}
}

// work lets a request come or go.
func (p *process) work() {
	if p.paused {
		return
	}
	if p.requests > 0 && p.world.choose.intn(2) == 0 {
		p.requests--
		return
	}
	if !p.draining {
		p.requests++
	}
}

// readRecords reads the accepted records, as an entry does after a watch's event.
func (p *process) readRecords() {
	if p.paused || p.authority == nil {
		return
	}
	for _, key := range []string{config.Key, plan.Key(service)} {
		r := p.world.call(p, kvcall.Read(key))
		if r.Err == nil && r.Entry.Exists() {
			p.accept(r.Entry)
			p.gossip.Read()
		}
	}
}

func (p *process) accept(e waxwingpick.Entry) {
	if p.store.Accept(e.Key, e.Revision, e.Value) {
		p.gossip.News(p.world.timers.Now())
	}
	p.audit()
}

// exchange opens an exchange with a random peer; the peer's answer waits until the process reads it.
func (p *process) exchange() {
	if p.paused {
		return
	}
	peer := p.world.pick()
	if peer.paused || peer.cutPeers || p.cutPeers || peer == p {
		return
	}
	p.converse(peer)
}

func (p *process) converse(peer *process) {
	if p.world.apart && p.slot%2 != peer.slot%2 {
		return
	}
	answer, _, _ := peer.store.Handle(peerID(peer), p.store.Hello(peerID(p)))
	msg, more := p.store.Reply(peerID(p), answer)
	if !more {
		p.gossip.Answered(peerID(peer))
		return
	}
	answer, news, err := peer.store.Handle(peerID(peer), msg)
	if err != nil {
		p.world.oracle.breaks("%s refused records of %s: %w", peer.name, p.name, err)
	}
	if news {
		peer.gossip.News(p.world.timers.Now())
	}
	peer.audit()
	p.answer = &answer
}

// hear reads a peer's answer, however late.
func (p *process) hear() {
	if p.paused || p.answer == nil {
		return
	}
	answer := *p.answer
	p.answer = nil
	if p.world.mutant == anyRevision {
		p.takeAny(answer)
	}
	news, err := p.store.Finish(answer)
	// A late delta may have lost its base; the next exchange brings the whole body.
	_ = err
	if news {
		p.gossip.News(p.world.timers.Now())
	}
	p.audit()
}

// takeAny forgets newer records for the sake of the ones that a peer sent.
func (p *process) takeAny(answer waxwingpick.PeerMessage) {
	fresh, err := spread.NewStore(func(string, []byte) error {
		return nil
	})
	if err != nil {
		panic(err)
	}
	for _, b := range answer.Bodies {
		if _, revision := p.store.Get(b.Key); b.Base == 0 && b.Revision < revision {
			p.store = fresh
		}
	}
}

// audit shows the oracle the process's copies.
func (p *process) audit() {
	for _, key := range []string{config.Key, plan.Key(service)} {
		body, revision := p.store.Get(key)
		p.world.oracle.holds(p.name, key, body, revision, p.seen[key])
		p.seen[key] = revision
	}
}

// tick lets a healthy process do all that is due.
func (p *process) tick() {
	p.requests = 0
	for range 20 {
		if waits := p.stage(); waits {
			break
		}
	}
	p.hear()
	now := p.world.timers.Now()
	if now.Before(p.gossip.Round()) {
		return
	}
	for _, peer := range p.gossip.Start(now, p.world.instances()) {
		for slot := range p.world.slots {
			if instance(slot).ID == peer.ID {
				p.converse(p.world.slots[slot][0])
				p.hear()
			}
		}
	}
	if p.slot == 0 {
		p.readRecords()
	}
}

func peerID(p *process) waxwingpick.InstanceID {
	return instance(p.slot).ID
}
