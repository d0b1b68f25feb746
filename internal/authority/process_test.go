package authority_test

import (
	"context"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/executor"
	"waxwingpick/core/gossip"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
	"waxwingpick/internal/standin/memkv"
)

// candidate is an entry's candidate for the authority: the real one or a mutant.
type candidate interface {
	Next(now time.Time) kvcall.Call
	Apply(now time.Time, r kvcall.Result)
	Holds() bool
	SetDesired(d plan.Desired)
	Hint(received plan.Record)
}

// maxStagesAtOnce is far above the number of stages that any correct sequence of calls takes without waiting.
const maxStagesAtOnce = 300

// process runs the state machines of one process. A call has three stages, and anything may happen between them: the
// machine requests it, it takes effect, and the machine receives its result.
type process struct {
	world  *world
	slot   int
	name   string
	client *memkv.Client

	authority candidate
	executor  *executor.Executor
	engine    *engine
	store     *gossip.Store
	gossip    *gossip.Gossip
	// lastRevisions is the revision of each record at the oracle's last check.
	lastRevisions map[string]int64
	// decoded is the plan at revision decodedAt.
	decoded   plan.Record
	decodedAt int64

	paused, peersUnreachable, healthy bool

	call     kvcall.Call
	step     executor.Step
	started  bool
	executed bool
	kvResult kvcall.Result
	result   executor.Result

	// response is a peer's response that the process has not read yet.
	response *waxwingpick.PeerMessage
	hint     plan.Record

	// stageCount counts the stages at the time stageCountAt.
	stageCount   int
	stageCountAt time.Time

	requests int
	draining bool
}

// run runs at most n stages of the process, and ends one of its requests.
func (p *process) run(n int) {
	if p.paused {
		return
	}
	p.requests = max(p.requests-1, 0)
	for range n {
		if waiting := p.stage(); waiting {
			break
		}
	}
}

// stage runs the next stage of the outstanding call, and reports whether the process has nothing to do.
func (p *process) stage() (waiting bool) {
	if p.paused {
		return true
	}
	p.countStage()
	switch {
	case !p.started:
		p.start()
		return !p.started
	case !p.executed:
		p.execute()
	default:
		p.deliver()
	}
	return false
}

// countStage reports a process that makes calls without ever waiting to the oracle.
func (p *process) countStage() {
	now := p.world.timers.Now()
	if !now.Equal(p.stageCountAt) {
		p.stageCountAt = now
		p.stageCount = 0
	}
	p.stageCount++
	if p.started && p.stageCount > maxStagesAtOnce {
		p.world.oracle.fail("%s does not wait: %v, %v", p.name, p.call.Kind, p.step.Kind)
	}
}

func (p *process) start() {
	now := p.world.timers.Now()
	received := p.receivedPlan()
	if p.authority != nil {
		p.authority.Hint(received)
		p.authority.SetDesired(p.world.desired())
		p.call = p.authority.Next(now)
		p.started = p.call.Kind != kvcall.Wait
		p.recordProposal()
		return
	}
	p.executor.Hint(received)
	p.step = p.executor.Next(now)
	p.started = p.step.Kind != executor.Wait
	if p.step.Kind == executor.Submit && p.requests > 0 {
		p.world.oracle.fail("%s sends an order while %d requests run", p.name, p.requests)
	}
}

// receivedPlan returns the latest plan received from other processes.
func (p *process) receivedPlan() plan.Record {
	body, revision := p.store.Get(plan.Key(service))
	if revision != p.decodedAt {
		p.decodedAt = revision
		p.decoded, _ = plan.Decode(service, body)
	}
	return p.decoded
}

// recordProposal records a plan that the authority is about to write, for use as a false hint.
func (p *process) recordProposal() {
	if p.call.Kind != kvcall.CompareAndSwap || p.call.Key != plan.Key(service) {
		return
	}
	if rec, err := plan.Decode(service, p.call.Value); err == nil {
		p.world.hints = append(p.world.hints, rec)
	}
}

func (p *process) execute() {
	p.executed = true
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
		if p.engine.unreachable || (!p.healthy && p.world.fate() != memkv.FaultNone) {
			p.result.Err = waxwingpick.ErrEngineUnreachable
		}
	case executor.Submit:
		p.result.Err = p.submitOrder()
	case executor.Drain:
		p.draining = true
		p.result.Drained = p.requests == 0
	case executor.Undrain:
		p.draining = false
	}
}

// mutate changes the result of a call so that the executor breaks a rule, if the world has such a mutation.
func (p *process) mutate(r kvcall.Result) kvcall.Result {
	key := p.step.Call.Key
	if p.step.Call.Kind != kvcall.Get || r.Err != nil {
		return r
	}
	if p.world.mutation == actOnHint && key == plan.Key(service) && p.hint.Revision > 0 {
		r.Entry.Value = mustJSON(p.hint)
		r.Entry.Revision = max(r.Entry.Revision, 1)
	}
	if p.world.mutation == skipPredecessorWait && key == executor.Key(p.engine.target) {
		r.Entry.Value = []byte(`{"held":false}`)
		r.Entry.Revision = max(r.Entry.Revision, 0)
	}
	if p.world.mutation == expiredIsReleased && key == executor.Key(p.engine.target) && !r.Entry.Exists() {
		r.Entry, r.Err = p.client.CompareAndSwap(context.Background(), key, 0, []byte(`{"held":false}`), 0)
	}
	return r
}

// submitOrder sends the order. It may arrive late, or its response may be lost.
func (p *process) submitOrder() error {
	now := p.world.timers.Now()
	if now.After(p.step.SendBy) {
		return waxwingpick.ErrEngineUnreachable
	}
	if p.healthy {
		return p.engine.execute(now, p.step.Order)
	}
	if p.world.fate() == memkv.FaultNone {
		return p.engine.execute(now, p.step.Order)
	}
	switch p.world.chooser.intn(3) {
	case 0:
		p.delayOrder()
		return waxwingpick.ErrEngineLost
	case 1:
		_ = p.engine.execute(now, p.step.Order)
		return waxwingpick.ErrEngineLost
	case 2:
		return waxwingpick.ErrEngineRefused
	}
	return p.engine.execute(now, p.step.Order)
}

func (p *process) delayOrder() {
	p.world.delayedOrders = append(p.world.delayedOrders, delayedOrder{
		engine:  p.engine,
		order:   p.step.Order,
		arrives: p.world.timers.Now().Add(p.step.Timeout),
	})
}

func (p *process) deliver() {
	p.started = false
	p.executed = false
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

// kill ends the process. Messages that it has sent may still arrive.
func (p *process) kill() {
	w := p.world
	if p.started && !p.executed && p.step.Kind == executor.Submit && p.executor != nil && !w.timers.Now().After(p.step.SendBy) {
		p.delayOrder()
	}
	if p.started && !p.executed && p.authority != nil && w.chooser.intn(2) == 0 {
		p.execute()
	}
	slot := w.slots[p.slot]
	for i, other := range slot {
		if other == p {
			w.slots[p.slot] = append(slot[:i:i], slot[i+1:]...)
		}
	}
}

// changeLoad starts or ends a request.
func (p *process) changeLoad() {
	if p.paused {
		return
	}
	if p.requests > 0 && p.world.chooser.intn(2) == 0 {
		p.requests--
		return
	}
	if !p.draining {
		p.requests++
	}
}

// readRecords reads the accepted records, as an entry does after a watch event.
func (p *process) readRecords() {
	if p.paused || p.authority == nil {
		return
	}
	for _, key := range []string{config.Key, plan.Key(service)} {
		r := p.world.call(p, kvcall.Read(key))
		if r.Err == nil && r.Entry.Exists() {
			p.accept(r.Entry)
			p.gossip.StoreRead()
		}
	}
}

func (p *process) accept(e waxwingpick.Entry) {
	if p.store.Accept(e.Key, e.Revision, e.Value) {
		p.gossip.Updated(p.world.timers.Now())
	}
	p.audit()
}

// exchange starts an exchange with a random peer. The peer's response is kept until the process reads it.
func (p *process) exchange() {
	if p.paused {
		return
	}
	peer := p.world.randomProcess()
	if peer.paused || peer.peersUnreachable || p.peersUnreachable || peer == p {
		return
	}
	p.exchangeWith(peer)
}

func (p *process) exchangeWith(peer *process) {
	if p.world.partitioned && p.slot%2 != peer.slot%2 {
		return
	}
	response, _, _ := peer.store.Handle(peerID(peer), p.store.Hello(peerID(p)))
	msg, more := p.store.Reply(peerID(p), response)
	if !more {
		p.gossip.Exchanged(peerID(peer))
		return
	}
	response, updated, err := peer.store.Handle(peerID(peer), msg)
	if err != nil {
		p.world.oracle.fail("%s refused records of %s: %w", peer.name, p.name, err)
	}
	if updated {
		peer.gossip.Updated(p.world.timers.Now())
	}
	peer.audit()
	p.response = &response
}

// readResponse reads a peer's response, which may be late.
func (p *process) readResponse() {
	if p.paused || p.response == nil {
		return
	}
	response := *p.response
	p.response = nil
	if p.world.mutation == anyRevision {
		p.acceptAnyRevision(response)
	}
	updated, err := p.store.Finish(response)
	// The base of a late delta may be missing. The next exchange then brings the complete body.
	_ = err
	if updated {
		p.gossip.Updated(p.world.timers.Now())
	}
	p.audit()
}

// acceptAnyRevision drops the local records if a peer sent older ones, so that those are accepted.
func (p *process) acceptAnyRevision(response waxwingpick.PeerMessage) {
	fresh, err := gossip.NewStore(func(string, []byte) error {
		return nil
	})
	if err != nil {
		panic(err)
	}
	for _, b := range response.Bodies {
		if _, revision := p.store.Get(b.Key); b.Base == 0 && b.Revision < revision {
			p.store = fresh
		}
	}
}

// audit lets the oracle check the process's copies of the records.
func (p *process) audit() {
	for _, key := range []string{config.Key, plan.Key(service)} {
		body, revision := p.store.Get(key)
		p.world.oracle.checkCopy(p.name, key, body, revision, p.lastRevisions[key])
		p.lastRevisions[key] = revision
	}
}

// runDue runs all due work of a healthy process.
func (p *process) runDue() {
	p.requests = 0
	for range 20 {
		if waiting := p.stage(); waiting {
			break
		}
	}
	p.readResponse()
	now := p.world.timers.Now()
	if now.Before(p.gossip.Round()) {
		return
	}
	for _, peer := range p.gossip.Start(now, p.world.instances()) {
		for slot := range p.world.slots {
			if instance(slot).ID == peer.ID {
				p.exchangeWith(p.world.slots[slot][0])
				p.readResponse()
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
