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
	"waxwingpick/core/plan"
	"waxwingpick/core/spread"
	"waxwingpick/internal/instancelist"
	"waxwingpick/internal/steploop"
)

var _ waxwingpick.PeerHandler = (*Runner)(nil)

// Runner keeps a process's copy of the accepted records.
type Runner struct {
	self      waxwingpick.Instance
	kv        waxwingpick.KeyValue
	timers    waxwingpick.Timers
	peers     waxwingpick.Peers
	instances Instances
	log       logrus.FieldLogger
	random    *rand.Rand
	gossips   *steploop.Sleeper
	reads     *steploop.Sleeper
	watchers  *steploop.Sleeper

	parser *parser
	// list is nil where the platform's list does not travel with the records.
	list *instancelist.Runner

	mu sync.Mutex
	// ask is a process that told of a younger list.
	ask         waxwingpick.Instance
	store       *spread.Store
	gossip      *spread.Gossip
	since       since
	decoded     decoded
	subscribers map[int]func()
	next        int
}

// New returns the runner of the process on an instance; Run starts it.
func New(self waxwingpick.Instance, kv waxwingpick.KeyValue, timers waxwingpick.Timers, peers waxwingpick.Peers, instances Instances, opts ...Option) (*Runner, error) {
	records := newParser()
	store, err := spread.NewStore(records.validate)
	if err != nil {
		return nil, err
	}
	r := &Runner{
		self:        self,
		kv:          kv,
		timers:      timers,
		peers:       peers,
		instances:   instances,
		log:         logrus.StandardLogger(),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		gossips:     steploop.NewSleeper(timers),
		reads:       steploop.NewSleeper(timers),
		watchers:    steploop.NewSleeper(timers),
		parser:      records,
		store:       store,
		subscribers: make(map[int]func()),
	}
	for _, opt := range opts {
		if err := opt(r); err != nil {
			return nil, err
		}
	}
	r.gossip = spread.NewGossip(self, rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64())))
	if r.list != nil {
		r.list.Subscribe(r.listChanged)
	}
	return r, nil
}

// Run spreads, watches and reads until ctx ends.
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

// Config returns the newest known configuration, which must not be changed, and its key's revision; the revision is
// zero where none is known.
func (r *Runner) Config() (config.Record, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decoded.config, r.decoded.configRevision
}

// Plan returns the newest known plan of a service, which must not be changed, and its key's revision; the revision is
// zero where none is known.
func (r *Runner) Plan(service waxwingpick.ServiceName) (plan.Record, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.decoded.plans[service]
	return p.record, p.revision
}

// Subscribe calls changed after each newer record until stop is called; changed must not block.
func (r *Runner) Subscribe(changed func()) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.next
	r.next++
	r.subscribers[id] = changed
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers, id)
	}
}

// Learned reports whether the process has a configuration and knows the newest records that it can reach, so that it
// may serve.
func (r *Runner) Learned() bool {
	known := r.instances()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decoded.configRevision != 0 && r.gossip.Learned(known)
}

// Sum returns the hash over the revisions held, to be sent along with requests.
func (r *Runner) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Sum()
}

// Heard takes the sum that came along with a request or an answer; a difference leads to an exchange soon.
func (r *Runner) Heard(sum uint64) {
	r.mu.Lock()
	differs := sum != r.store.Sum()
	if differs {
		r.gossip.Differs(r.timers.Now())
	}
	r.mu.Unlock()
	if differs {
		r.gossips.Notify()
	}
}

// Accept takes an entry that the key-value service returned for a record's key.
func (r *Runner) Accept(e waxwingpick.Entry) {
	if !e.Exists() {
		return
	}
	if err := r.parser.validate(e.Key, e.Value); err != nil {
		r.log.WithError(err).WithField("key", e.Key).Error("the key-value service holds an invalid record")
		return
	}
	r.mu.Lock()
	news := r.store.Accept(e.Key, e.Revision, e.Value)
	r.mu.Unlock()
	r.taken(news)
}

// HandleExchange answers another process.
func (r *Runner) HandleExchange(_ context.Context, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	r.mu.Lock()
	answer, news, err := r.store.Handle(r.self.ID, msg)
	r.mu.Unlock()
	r.taken(news)
	if err != nil {
		r.log.WithError(err).WithField("peer", msg.From).Warn("refused records of a peer")
	}
	r.answerList(msg, &answer)
	return answer, nil
}

// taken decodes what is new and tells the subscribers.
func (r *Runner) taken(news bool) {
	if !news {
		return
	}
	r.mu.Lock()
	r.decodeLocked()
	r.gossip.News(r.timers.Now())
	subscribers := make([]func(), 0, len(r.subscribers))
	for _, changed := range r.subscribers {
		subscribers = append(subscribers, changed)
	}
	r.mu.Unlock()
	r.gossips.Notify()
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
			r.log.WithError(err).WithField("key", held.Key).Error("a stored record is invalid")
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
