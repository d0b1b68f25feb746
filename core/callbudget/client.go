package callbudget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"waxwingpick"
)

const (
	defaultThreshold    = 3
	defaultLeastBackoff = 200 * time.Millisecond
	defaultMostBackoff  = 3 * time.Second
)

// Errors of refused calls; both match waxwingpick.ErrUnavailable.
var (
	// ErrOverBudget says that the process has used up its share of this kind of call.
	ErrOverBudget = fmt.Errorf("over the call budget: %w", waxwingpick.ErrUnavailable)
	// ErrCircuitOpen says that the service failed and is not tried yet.
	ErrCircuitOpen = fmt.Errorf("circuit open: %w", waxwingpick.ErrUnavailable)
)

var _ waxwingpick.KeyValue = (*Client)(nil)

// Client passes calls to a key-value service within their budget; it is safe for concurrent use.
type Client struct {
	kv     waxwingpick.KeyValue
	timers waxwingpick.Timers

	mu      sync.Mutex
	buckets map[waxwingpick.KeyValueCall]*rate.Limiter
	// own holds the kinds of call whose budget is no equal share.
	own     waxwingpick.Set[waxwingpick.KeyValueCall]
	counts  map[waxwingpick.KeyValueCall]Counts
	breaker *Breaker
	opened  int64
	// observe takes the end of each call that went to the service.
	observe func(err error)
}

// Counts are the calls of one kind since the start.
type Counts struct {
	// Sent is the number of calls that went to the service.
	Sent int64
	// Failed is how many of them found it unavailable or lost their answer.
	Failed int64
	// OverBudget is the number of calls refused for want of tokens.
	OverBudget int64
	// CircuitOpen is the number of calls refused during an outage.
	CircuitOpen int64
}

type settings struct {
	rates     map[waxwingpick.KeyValueCall]Rate
	threshold int
	least     time.Duration
	most      time.Duration
	observe   func(err error)
}

// Option sets up a Client.
type Option func(*settings) error

// WithRate sets the budget of one kind of call.
func WithRate(kind waxwingpick.KeyValueCall, r Rate) Option {
	return func(s *settings) error {
		if r.PerSecond <= 0 || r.Burst < 1 {
			return eris.Errorf("rate of %s: %v a second, burst %d: both must be positive", kind, r.PerSecond, r.Burst)
		}
		s.rates[kind] = r
		return nil
	}
}

// WithBackoff sets the least and the most delay before a failed service is tried again.
func WithBackoff(least, most time.Duration) Option {
	return func(s *settings) error {
		if least <= 0 || most < least {
			return eris.Errorf("backoff from %s to %s is empty", least, most)
		}
		s.least, s.most = least, most
		return nil
	}
}

// WithThreshold sets after how many failures in a row calls stop.
func WithThreshold(failures int) Option {
	return func(s *settings) error {
		if failures < 1 {
			return eris.Errorf("threshold of %d failures is not positive", failures)
		}
		s.threshold = failures
		return nil
	}
}

// WithObserver has a function told of the end of each call that went to the service, with the failure that Failed
// reports, and nil where the service answered, whatever it said.
func WithObserver(observe func(err error)) Option {
	return func(s *settings) error {
		if observe == nil {
			return eris.New("observer is nil")
		}
		s.observe = observe
		return nil
	}
}

// New returns a client over kv; rng draws the backoff and must differ between processes.
func New(kv waxwingpick.KeyValue, timers waxwingpick.Timers, rng *rand.Rand, opts ...Option) (*Client, error) {
	s := settings{
		rates:     make(map[waxwingpick.KeyValueCall]Rate),
		threshold: defaultThreshold,
		least:     defaultLeastBackoff,
		most:      defaultMostBackoff,
		observe:   func(error) {},
	}
	for _, kind := range waxwingpick.KeyValueCalls() {
		s.rates[kind] = DefaultRate(kind)
	}
	for _, opt := range opts {
		if err := opt(&s); err != nil {
			return nil, fmt.Errorf("set up call budget: %w", err)
		}
	}
	c := &Client{
		kv:      kv,
		timers:  timers,
		buckets: make(map[waxwingpick.KeyValueCall]*rate.Limiter),
		counts:  make(map[waxwingpick.KeyValueCall]Counts),
		own:     waxwingpick.NewSet(waxwingpick.CallKeepAlive),
		observe: s.observe,
		breaker: NewBreaker(s.threshold, NewBackoff(s.least, s.most, rng)),
	}
	for kind, r := range s.rates {
		c.buckets[kind] = rate.NewLimiter(rate.Limit(r.PerSecond), r.Burst)
	}
	return c, nil
}

// Counts returns the counters of one kind of call.
func (c *Client) Counts(kind waxwingpick.KeyValueCall) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[kind]
}

// SetProcesses gives each of n processes an equal share of what the service's budget allows to all. Kinds of call with a
// budget of their own stay as they are, and so do keep-alives: only the few holders of a lease send them.
func (c *Client) SetProcesses(n int) {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, bucket := range c.buckets {
		if c.own.Has(kind) {
			continue
		}
		share := Share(ServiceRate(kind), n)
		bucket.SetLimitAt(now, rate.Limit(share.PerSecond))
		bucket.SetBurstAt(now, share.Burst)
	}
}

// SetRate gives the process a budget of its own for one kind of call, which SetProcesses leaves as it is.
func (c *Client) SetRate(kind waxwingpick.KeyValueCall, r Rate) {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.Add(kind)
	c.buckets[kind].SetLimitAt(now, rate.Limit(r.PerSecond))
	c.buckets[kind].SetBurstAt(now, r.Burst)
}

// State returns the circuit's state.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.State()
}

// Opened returns how often the circuit opened.
func (c *Client) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// RetryAfter returns how long calls are refused for certain; zero while the circuit lets calls through.
func (c *Client) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breaker.State() == StateClosed {
		return 0
	}
	return max(0, c.breaker.Until().Sub(c.timers.Now()))
}

// admit asks the breaker and takes a token. A watch ends long after the service answered, so it is
// no probe of a circuit that is not closed.
func (c *Client) admit(kind waxwingpick.KeyValueCall) error {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[kind]
	defer func() { c.counts[kind] = n }()
	probe := c.breaker.State() != StateClosed
	if !c.breaker.Ready(now) || probe && kind == waxwingpick.CallWatch {
		n.CircuitOpen++
		return fmt.Errorf("%s: %w", kind, ErrCircuitOpen)
	}
	if !c.buckets[kind].AllowN(now, 1) {
		n.OverBudget++
		return fmt.Errorf("%s: %w", kind, ErrOverBudget)
	}
	c.breaker.Sent()
	n.Sent++
	return nil
}

// record tells the breaker what became of a call.
func (c *Client) record(kind waxwingpick.KeyValueCall, err error) {
	switch {
	case errors.Is(err, context.Canceled):
	case Failed(err):
		c.observe(err)
	default:
		c.observe(nil)
	}
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, context.Canceled):
		c.breaker.Abandoned(now)
	case Failed(err):
		n := c.counts[kind]
		n.Failed++
		c.counts[kind] = n
		before := c.breaker.State()
		c.breaker.Failed(now)
		if before == StateClosed && c.breaker.State() == StateOpen {
			c.opened++
		}
	default:
		c.breaker.Succeeded()
	}
}

// Failed reports whether an error says that the service was unavailable or an answer was lost.
func Failed(err error) bool {
	return errors.Is(err, waxwingpick.ErrUnavailable) || errors.Is(err, waxwingpick.ErrUnknownOutcome)
}
