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
	quickTokens   = 12
	longTokens    = 120
	longWords     = 1500
	callerPause   = 100 * time.Millisecond
	bookingPath   = "/bookings"
	resendTries   = 20
	resendPause   = 250 * time.Millisecond
	resendOneIn   = 3
	requestBudget = 30 * time.Second
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

// Load sends a mixed load to entries and keeps what their callers saw.
type Load struct {
	entries []string
	model   string
	service waxwingpick.ServiceName
	preset  config.Preset

	mu       sync.Mutex
	tallies  [3]Tally
	bookings []string
	// refused holds the bookings whose last sending was refused as not run.
	refused []string
	resends int
	first   error
}

// NewLoad returns a load for the first model and plain service of the configuration, judged by the preset's deadlines.
func NewLoad(entries []string, cfg config.Record, preset config.Preset) *Load {
	return &Load{
		entries: entries,
		service: serviceOf(cfg, config.KindPlain),
		model:   cfg.Services[0].Models[0].Name,
		preset:  preset,
	}
}

// newLoad returns the load for a cluster's entries.
func newLoad(c *Cluster, preset config.Preset) *Load {
	var entries []string
	for _, e := range c.Entries() {
		entries = append(entries, e.CallerAddr())
	}
	return NewLoad(entries, c.layout.Config, preset)
}

// Drive sends the load while during runs, and returns once every request that was started has ended.
func (l *Load) Drive(ctx context.Context, quick, long, orders int, during func(ctx context.Context) error) error {
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

// run starts the callers and waits for them; a request that has started is finished after ctx ends.
func (l *Load) run(ctx context.Context, quick, long, orders int) {
	var wg conc.WaitGroup
	start := func(kind string, n int, send func(c *Caller, r *rand.Rand)) {
		for i := range n {
			wg.Go(func() {
				l.repeat(ctx, kind, i, send)
			})
		}
	}
	start("teachers", quick, l.quick)
	start("owners", long, l.long)
	start("parents", orders, l.order)
	wg.Wait()
}

// repeat sends requests of one kind in a workspace of their own, so that all together stay below a workspace's rate.
func (l *Load) repeat(ctx context.Context, kind string, i int, send func(c *Caller, r *rand.Rand)) {
	c := NewCaller(fmt.Sprintf("%s-%d", kind, i))
	defer c.Close()
	r := rand.New(rand.NewPCG(uint64(i), 1))
	t := time.NewTicker(callerPause)
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

// setEntry replaces an entry that callers use, as a balancer does when readiness changes.
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
	ctx, cancel := context.WithTimeout(context.Background(), requestBudget)
	defer cancel()
	got, err := c.Chat(ctx, l.entry(r), l.model, question, tokens)
	prompt := standinengine.ChatPrompt([]standinengine.Message{{
		Role:    "user",
		Content: question,
	}})
	wanted := strings.Join(standinengine.Answer(prompt, tokens), "")
	l.count(class, got.Total, err, got.Text == wanted)
}

// order books a class once, and sends the same booking again where it failed, or now and then where it was answered.
func (l *Load) order(c *Caller, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), requestBudget)
	defer cancel()
	id, err := uuid.NewV7()
	if err != nil {
		l.count(waxwingpick.ClassOrder, 0, err, true)
		return
	}
	key := id.String()
	body := []byte(fmt.Sprintf(`{"class":"tuesday salsa","child":"%d"}`, r.Uint32()))
	started := time.Now()
	answer, err := l.book(ctx, c, r, body, key)
	l.count(waxwingpick.ClassOrder, time.Since(started), err, true)
	if err != nil && !notRun(err) {
		answer, err = l.settle(ctx, c, r, body, key)
	}
	l.keepBooking(key, err)
	if err != nil {
		return
	}
	if r.IntN(resendOneIn) != 0 {
		return
	}
	l.resend(ctx, c, r, body, key, answer)
}

// resend sends an answered booking again, which has to get the same answer and may not be refused as not run.
func (l *Load) resend(ctx context.Context, c *Caller, r *rand.Rand, body []byte, key string, answer []byte) {
	again, err := c.Call(ctx, l.entry(r), string(l.service), "POST", bookingPath, body, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resends++
	t := &l.tallies[waxwingpick.ClassOrder]
	switch {
	case err == nil && string(again) == string(answer):
	case err == nil:
		t.Mismatch++
		l.keepFirst(fmt.Errorf("resent booking %s got %q instead of %q: %w", key, again, answer, ErrPromise))
	case notRun(err):
		l.refused = append(l.refused, key)
		l.keepFirst(fmt.Errorf("resent booking %s: %w", key, err))
	default:
		t.Failed++
		l.keepFirst(fmt.Errorf("resent booking %s: %w", key, err))
	}
}

// book sends a booking until it has an answer; only refusals as not run are sent again.
func (l *Load) book(ctx context.Context, c *Caller, r *rand.Rand, body []byte, key string) ([]byte, error) {
	var err error
	for range resendTries {
		var answer []byte
		answer, err = c.Call(ctx, l.entry(r), string(l.service), "POST", bookingPath, body, key)
		if err == nil || !notRun(err) {
			return answer, err
		}
		time.Sleep(resendPause)
	}
	return nil, err
}

// settle sends a booking whose outcome is not known again until it has an answer or was refused as not run.
func (l *Load) settle(ctx context.Context, c *Caller, r *rand.Rand, body []byte, key string) ([]byte, error) {
	var err error
	for range resendTries {
		time.Sleep(resendPause)
		var answer []byte
		answer, err = c.Call(ctx, l.entry(r), string(l.service), "POST", bookingPath, body, key)
		if err == nil || notRun(err) {
			return answer, err
		}
	}
	return nil, err
}

// notRun reports whether an entry refused the request as not run.
func notRun(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem) && problem.Problem().Outcome == waxwingpick.OutcomeNotRun
}

// keepBooking remembers a booking by how its last sending ended.
func (l *Load) keepBooking(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.bookings = append(l.bookings, key)
	case notRun(err):
		l.refused = append(l.refused, key)
	}
}

// First returns the first failure that a caller saw; nil where there was none.
func (l *Load) First() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

func (l *Load) keepFirst(err error) {
	if l.first == nil {
		l.first = err
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
	case errors.Is(err, ErrCut):
		t.Cut++
		l.keepFirst(err)
	default:
		t.Failed++
		l.keepFirst(err)
	}
}

func (l *Load) deadline(class waxwingpick.Class) time.Duration {
	for _, p := range l.preset.Classes {
		if p.Class == class {
			return p.Deadline.Std()
		}
	}
	return requestBudget
}
