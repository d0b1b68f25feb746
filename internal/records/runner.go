package records

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/gossip"
	"waxwingpick/core/plan"
	"waxwingpick/internal/instancelist"
	"waxwingpick/internal/steploop"
)

var _ waxwingpick.PeerHandler = (*Runner)(nil)

// Runner keeps a process's copy of the accepted records.
type Runner struct {
	self          waxwingpick.Instance
	kv            waxwingpick.KeyValue
	timers        waxwingpick.Timers
	peers         waxwingpick.Peers
	instances     Instances
	log           logrus.FieldLogger
	random        *rand.Rand
	gossipSleeper *steploop.Sleeper
	readSleeper   *steploop.Sleeper
	watchSleeper  *steploop.Sleeper

	parser *parser
	// list is nil if the platform's list is not exchanged with the records.
	list *instancelist.Runner

	mu sync.Mutex
	// pendingPeer is a process that reported a younger list and is included in the next round.
	pendingPeer    waxwingpick.Instance
	store          *gossip.Store
	gossip         *gossip.Gossip
	readRevisions  readRevisions
	decoded        decoded
	subscribers    map[int]func()
	nextSubscriber int
}

// New returns the runner of the process on an instance; Run starts it.
func New(self waxwingpick.Instance, kv waxwingpick.KeyValue, timers waxwingpick.Timers, peers waxwingpick.Peers, instances Instances, opts ...Option) (*Runner, error) {
	records := newParser()
	store, err := gossip.NewStore(records.validate)
	if err != nil {
		return nil, err
	}
	r := &Runner{
		self:          self,
		kv:            kv,
		timers:        timers,
		peers:         peers,
		instances:     instances,
		log:           logrus.StandardLogger(),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		gossipSleeper: steploop.NewSleeper(timers),
		readSleeper:   steploop.NewSleeper(timers),
		watchSleeper:  steploop.NewSleeper(timers),
		parser:        records,
		store:         store,
		subscribers:   make(map[int]func()),
	}
	for _, opt := range opts {
		if err := opt(r); err != nil {
			return nil, err
		}
	}
	r.gossip = gossip.NewGossip(self, rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64())))
	if r.list != nil {
		r.list.Subscribe(r.listChanged)
	}
	return r, nil
}

// Run exchanges, watches and reads the records until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() {
		r.runGossip(ctx)
	})
	wg.Go(func() {
		r.runReads(ctx)
	})
	if r.self.Kind == waxwingpick.KindEntry {
		wg.Go(func() {
			r.runWatch(ctx)
		})
	}
	wg.Wait()
}

// Config returns the latest known configuration, which must not be modified, and its key's revision. The revision is zero
// if there is none.
func (r *Runner) Config() (config.Record, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decoded.config, r.decoded.configRevision
}

// Plan returns the latest known plan of a service, which must not be modified, and its key's revision. The revision is
// zero if there is none.
func (r *Runner) Plan(service waxwingpick.ServiceName) (plan.Record, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.decoded.plans[service]
	return p.record, p.revision
}

// Subscribe calls changed after each newer record until stop is called. changed must not block.
func (r *Runner) Subscribe(changed func()) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.nextSubscriber
	r.nextSubscriber++
	r.subscribers[id] = changed
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers, id)
	}
}

// Synced reports whether the process may serve: it has a configuration and the latest records of the peers that it can
// reach.
func (r *Runner) Synced() bool {
	listed := r.instances()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decoded.configRevision != 0 && r.gossip.Synced(listed)
}

// Sum returns the hash over the revisions in the store, which is sent along with requests and responses.
func (r *Runner) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Sum()
}

// CompareSum compares the sum that came with a request or a response. If it differs, an exchange is brought forward.
func (r *Runner) CompareSum(sum uint64) {
	r.mu.Lock()
	differs := sum != r.store.Sum()
	if differs {
		r.gossip.Differs(r.timers.Now())
	}
	r.mu.Unlock()
	if differs {
		r.gossipSleeper.Notify()
	}
}

// Accept adds an entry that the key-value service returned for a record's key.
func (r *Runner) Accept(e waxwingpick.Entry) {
	if !e.Exists() {
		return
	}
	if err := r.parser.validate(e.Key, e.Value); err != nil {
		r.log.WithError(err).WithField("key", e.Key).Error("invalid record in the key-value service")
		return
	}
	r.mu.Lock()
	updated := r.store.Accept(e.Key, e.Revision, e.Value)
	r.mu.Unlock()
	r.recordsUpdated(updated)
}

// HandleExchange handles an exchange message of another process.
func (r *Runner) HandleExchange(_ context.Context, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	r.mu.Lock()
	response, updated, err := r.store.Handle(r.self.ID, msg)
	r.mu.Unlock()
	r.recordsUpdated(updated)
	if err != nil {
		r.log.WithError(err).WithField("peer", msg.From).Warn("rejected records of a peer")
	}
	r.addListChanges(msg, &response)
	return response, nil
}

// recordsUpdated decodes new records and notifies the subscribers.
func (r *Runner) recordsUpdated(updated bool) {
	if !updated {
		return
	}
	r.mu.Lock()
	r.decodeLocked()
	r.gossip.Updated(r.timers.Now())
	subscribers := make([]func(), 0, len(r.subscribers))
	for _, changed := range r.subscribers {
		subscribers = append(subscribers, changed)
	}
	r.mu.Unlock()
	r.gossipSleeper.Notify()
	for _, changed := range subscribers {
		changed()
	}
}

func (r *Runner) decodeLocked() {
	for _, held := range r.store.Digest() {
		if held.Revision == r.decoded.revision(held.Key) {
			continue
		}
		body, revision := r.store.Get(held.Key)
		record, err := r.parser.parse(held.Key, body)
		if err != nil {
			r.log.WithError(err).WithField("key", held.Key).Error("invalid record in the store")
			continue
		}
		r.decoded.set(record, revision)
	}
}

func (r *Runner) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}
