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
	defaultThreshold  = 3
	defaultMinBackoff = 200 * time.Millisecond
	defaultMaxBackoff = 3 * time.Second
)

// Errors of rejected calls. Both match waxwingpick.ErrUnavailable.
var (
	// ErrOverBudget means that the process has used up its share of this kind of call.
	ErrOverBudget = fmt.Errorf("over the call budget: %w", waxwingpick.ErrUnavailable)
	// ErrCircuitOpen means that the service failed and that the backoff has not ended.
	ErrCircuitOpen = fmt.Errorf("circuit open: %w", waxwingpick.ErrUnavailable)
)

var _ waxwingpick.KeyValue = (*Client)(nil)

// Client sends calls to a key-value service within their budget. It is safe for concurrent use.
type Client struct {
	kv     waxwingpick.KeyValue
	timers waxwingpick.Timers

	mu      sync.Mutex
	buckets map[waxwingpick.KeyValueCall]*rate.Limiter
	// fixedRates holds the kinds of call whose rate SetProcesses does not change.
	fixedRates waxwingpick.Set[waxwingpick.KeyValueCall]
	counts     map[waxwingpick.KeyValueCall]Counts
	breaker    *Breaker
	opened     int64
	// observe is called at the end of each call that was sent to the service.
	observe func(err error)
}

// Counts holds the numbers of calls of one kind since the start.
type Counts struct {
	// Sent is the number of calls that were sent to the service.
	Sent int64
	// Failed is the number of sent calls that found the service unavailable or whose response was lost.
	Failed int64
	// OverBudget is the number of calls rejected because no token was available.
	OverBudget int64
	// CircuitOpen is the number of calls rejected during an outage.
	CircuitOpen int64
}

type settings struct {
	rates     map[waxwingpick.KeyValueCall]Rate
	threshold int
	minDelay  time.Duration
	maxDelay  time.Duration
	observe   func(err error)
}

// Option configures a Client.
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

// WithBackoff sets the minimum and maximum delay before calls to a failed service are tried again.
func WithBackoff(minDelay, maxDelay time.Duration) Option {
	return func(s *settings) error {
		if minDelay <= 0 || maxDelay < minDelay {
			return eris.Errorf("backoff from %s to %s: want a positive range", minDelay, maxDelay)
		}
		s.minDelay, s.maxDelay = minDelay, maxDelay
		return nil
	}
}

// WithThreshold sets the number of consecutive failures after which the circuit opens.
func WithThreshold(failures int) Option {
	return func(s *settings) error {
		if failures < 1 {
			return eris.Errorf("threshold of %d failures is not positive", failures)
		}
		s.threshold = failures
		return nil
	}
}

// WithObserver sets a function that is called at the end of each call that was sent to the service. Its argument is the
// error if Failed reports it as a failure, and nil if the service responded, even with an error.
func WithObserver(observe func(err error)) Option {
	return func(s *settings) error {
		if observe == nil {
			return eris.New("observer is nil")
		}
		s.observe = observe
		return nil
	}
}

// New returns a client that calls kv. rng draws the backoff and must differ between processes.
func New(kv waxwingpick.KeyValue, timers waxwingpick.Timers, rng *rand.Rand, opts ...Option) (*Client, error) {
	s := settings{
		rates:     make(map[waxwingpick.KeyValueCall]Rate),
		threshold: defaultThreshold,
		minDelay:  defaultMinBackoff,
		maxDelay:  defaultMaxBackoff,
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
		kv:         kv,
		timers:     timers,
		buckets:    make(map[waxwingpick.KeyValueCall]*rate.Limiter),
		counts:     make(map[waxwingpick.KeyValueCall]Counts),
		fixedRates: waxwingpick.NewSet(waxwingpick.CallKeepAlive),
		observe:    s.observe,
		breaker:    NewBreaker(s.threshold, NewBackoff(s.minDelay, s.maxDelay, rng)),
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

// SetProcesses sets the budget to an equal share, for one of n processes, of the service's total budget. Kinds of call with
// a rate set by SetRate are not changed, and neither are keep-alives, which only the few lease holders send.
func (c *Client) SetProcesses(n int) {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, bucket := range c.buckets {
		if c.fixedRates.Has(kind) {
			continue
		}
		share := Share(ServiceRate(kind), n)
		bucket.SetLimitAt(now, rate.Limit(share.PerSecond))
		bucket.SetBurstAt(now, share.Burst)
	}
}

// SetRate sets a fixed rate of this process for one kind of call, which SetProcesses does not change.
func (c *Client) SetRate(kind waxwingpick.KeyValueCall, r Rate) {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixedRates.Add(kind)
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

// RetryAfter returns the remaining time for which calls are rejected, zero if the circuit is closed.
func (c *Client) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breaker.State() == StateClosed {
		return 0
	}
	return max(0, c.breaker.Until().Sub(c.timers.Now()))
}

// admit checks the breaker and takes a token. A watch ends long after the service responded, so it can't be the probe of
// a circuit that is not closed.
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

// record records the result of a call in the breaker and the counts.
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

// Failed reports whether an error means that the service was unavailable or that a response was lost.
func Failed(err error) bool {
	return errors.Is(err, waxwingpick.ErrUnavailable) || errors.Is(err, waxwingpick.ErrUnknownOutcome)
}
