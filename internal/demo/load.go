package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/config"
	standinengine "waxwingpick/internal/standin/engine"
)

const (
	quickTokens    = 12
	longTokens     = 120
	longWords      = 1500
	sendInterval   = 100 * time.Millisecond
	bookingPath    = "/bookings"
	maxResends     = 20
	resendDelay    = 250 * time.Millisecond
	resendOneIn    = 3
	requestTimeout = 30 * time.Second
)

// Tally counts the requests of one class.
type Tally struct {
	Sent     int `json:"sent"`
	InTime   int `json:"inTime"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Cut      int `json:"cut"`
	Mismatch int `json:"mismatch"`
}

// Load sends a mixed load to entries and records the results that callers received.
type Load struct {
	entries []string
	model   string
	service waxwingpick.ServiceName
	preset  config.Preset

	mu       sync.Mutex
	tallies  [3]Tally
	bookings []string
	// refused holds the keys of bookings whose last attempt was rejected with outcome notRun.
	refused  []string
	resends  int
	firstErr error
}

// NewLoad returns a load for the first model and the first plain service of the configuration. Responses are in time by
// the deadlines of the preset.
func NewLoad(entries []string, cfg config.Record, preset config.Preset) *Load {
	return &Load{
		entries: entries,
		service: serviceOf(cfg, config.KindPlain),
		model:   cfg.Services[0].Models[0].Name,
		preset:  preset,
	}
}

// newLoad returns a load on the entries of a cluster.
func newLoad(c *Cluster, preset config.Preset) *Load {
	var entries []string
	for _, e := range c.Entries() {
		entries = append(entries, e.CallerAddr())
	}
	return NewLoad(entries, c.layout.Config, preset)
}

// RunDuring sends the load until during returns, waits for running requests, and returns the error of during.
func (l *Load) RunDuring(ctx context.Context, quick, long, orders int, during func(ctx context.Context) error) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() {
		l.run(loadCtx, quick, long, orders)
	})
	err := during(ctx)
	stop()
	wg.Wait()
	return err
}

// run sends the load until ctx is done, and waits for running requests.
func (l *Load) run(ctx context.Context, quick, long, orders int) {
	var wg conc.WaitGroup
	start := func(kind string, n int, send func(c *Caller, r *rand.Rand)) {
		for i := range n {
			wg.Go(func() {
				l.sendPeriodically(ctx, kind, i, send)
			})
		}
	}
	start("teachers", quick, l.quick)
	start("owners", long, l.long)
	start("parents", orders, l.order)
	wg.Wait()
}

// sendPeriodically sends requests of one caller until ctx is done. Each caller has its own workspace, so that the load
// exceeds no workspace's rate.
func (l *Load) sendPeriodically(ctx context.Context, kind string, i int, send func(c *Caller, r *rand.Rand)) {
	c := NewCaller(fmt.Sprintf("%s-%d", kind, i))
	defer c.Close()
	r := rand.New(rand.NewPCG(uint64(i), 1))
	t := time.NewTicker(sendInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			send(c, r)
		}
	}
}

func (l *Load) entry(r *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[r.IntN(len(l.entries))]
}

// setEntry replaces the address of an entry, as a load balancer does when readiness changes.
func (l *Load) setEntry(i int, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[i] = addr
}

func (l *Load) quick(c *Caller, r *rand.Rand) {
	l.chat(c, r, waxwingpick.ClassQuick, fmt.Sprintf("who swapped salsa number %d", r.Uint32()), quickTokens)
}

func (l *Load) long(c *Caller, r *rand.Rand) {
	history := strings.Repeat(fmt.Sprintf("class %d on tuesday ", r.Uint32()), longWords)
	l.chat(c, r, waxwingpick.ClassLong, "reshape the season: "+history, longTokens)
}

func (l *Load) chat(c *Caller, r *rand.Rand, class waxwingpick.Class, question string, tokens int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	got, err := c.Chat(ctx, l.entry(r), l.model, question, tokens)
	prompt := standinengine.ChatPrompt([]standinengine.Message{{
		Role:    "user",
		Content: question,
	}})
	expected := strings.Join(standinengine.ResponseTokens(prompt, tokens), "")
	l.count(class, got.Total, err, got.Text == expected)
}

// order sends one booking. It repeats the booking while its outcome is unknown, and repeats a random part of those that
// succeeded.
func (l *Load) order(c *Caller, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	id, err := uuid.NewV7()
	if err != nil {
		l.count(waxwingpick.ClassOrder, 0, err, true)
		return
	}
	key := id.String()
	body := []byte(fmt.Sprintf(`{"class":"tuesday salsa","child":"%d"}`, r.Uint32()))
	started := time.Now()
	response, err := l.book(ctx, c, r, body, key)
	l.count(waxwingpick.ClassOrder, time.Since(started), err, true)
	if err != nil && !notRun(err) {
		response, err = l.resolveOutcome(ctx, c, r, body, key)
	}
	l.recordBooking(key, err)
	if err != nil {
		return
	}
	if r.IntN(resendOneIn) != 0 {
		return
	}
	l.resend(ctx, c, r, body, key, response)
}

// resend repeats a booking that succeeded. The response must be the same, and its outcome must not be notRun.
func (l *Load) resend(ctx context.Context, c *Caller, r *rand.Rand, body []byte, key string, response []byte) {
	again, err := c.Call(ctx, l.entry(r), string(l.service), "POST", bookingPath, body, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resends++
	t := &l.tallies[waxwingpick.ClassOrder]
	switch {
	case err == nil && string(again) == string(response):
	case err == nil:
		t.Mismatch++
		l.recordFailure(fmt.Errorf("resent booking %s got %q instead of %q: %w", key, again, response, ErrGuarantee))
	case notRun(err):
		l.refused = append(l.refused, key)
		l.recordFailure(fmt.Errorf("resent booking %s: %w", key, err))
	default:
		t.Failed++
		l.recordFailure(fmt.Errorf("resent booking %s: %w", key, err))
	}
}

// book sends a booking, and retries while the outcome is notRun.
func (l *Load) book(ctx context.Context, c *Caller, r *rand.Rand, body []byte, key string) ([]byte, error) {
	var err error
	for range maxResends {
		var response []byte
		response, err = c.Call(ctx, l.entry(r), string(l.service), "POST", bookingPath, body, key)
		if err == nil || !notRun(err) {
			return response, err
		}
		time.Sleep(resendDelay)
	}
	return nil, err
}

// resolveOutcome retries a booking of unknown outcome until it succeeds or its outcome is notRun.
func (l *Load) resolveOutcome(ctx context.Context, c *Caller, r *rand.Rand, body []byte, key string) ([]byte, error) {
	var err error
	for range maxResends {
		time.Sleep(resendDelay)
		var response []byte
		response, err = c.Call(ctx, l.entry(r), string(l.service), "POST", bookingPath, body, key)
		if err == nil || notRun(err) {
			return response, err
		}
	}
	return nil, err
}

// notRun reports whether err is an error response with outcome notRun.
func notRun(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem) && problem.Problem().Outcome == waxwingpick.OutcomeNotRun
}

// recordBooking records a booking by the result of its last attempt, unless that is unknown.
func (l *Load) recordBooking(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.bookings = append(l.bookings, key)
	case notRun(err):
		l.refused = append(l.refused, key)
	}
}

// FirstError returns the first failure that a caller observed, or nil.
func (l *Load) FirstError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstErr
}

func (l *Load) recordFailure(err error) {
	if l.firstErr == nil {
		l.firstErr = err
	}
}

func (l *Load) count(class waxwingpick.Class, took time.Duration, err error, matches bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tallies[class]
	t.Sent++
	switch {
	case err == nil && !matches:
		t.Mismatch++
	case err == nil && took <= l.deadline(class):
		t.InTime++
	case err == nil:
		t.Late++
	case notRun(err):
		t.Refused++
	case errors.Is(err, ErrTruncated):
		t.Cut++
		l.recordFailure(err)
	default:
		t.Failed++
		l.recordFailure(err)
	}
}

func (l *Load) deadline(class waxwingpick.Class) time.Duration {
	for _, p := range l.preset.Classes {
		if p.Class == class {
			return p.Deadline.Std()
		}
	}
	return requestTimeout
}
