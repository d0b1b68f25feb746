package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
)

const (
	// enough is what a request has to find in a bucket, a little less than it takes, as amounts are rounded down on the way.
	enough = 0.99
	// leadTime is the time whose demand an entry asks for above its base.
	leadTime = 500 * time.Millisecond
	// offeredWindow bounds the time whose requests an ask tells, so that an old count does not pass for a present demand.
	offeredWindow = 10 * time.Second
	// leastPause and mostPause bound how long an owner that did not answer is not asked; each failure in a row doubles it.
	leastPause = time.Second
	mostPause  = 8 * time.Second
	// mostRepeats bounds the asks in a row that no request called for.
	mostRepeats = 16
	// refusalsKept is how long after its last refusal a workspace counts as over its rate.
	refusalsKept = time.Minute
	// leastRetryAfter and mostRetryAfter bound what a refused caller is told.
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = time.Minute
)

// Verdict says whether a request is admitted, and whether the owner is to be asked for more tokens.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused request is predicted to be admitted.
	RetryAfter time.Duration
	// Ask holds what to ask where Due is set; Granted or Failed has to follow.
	Ask Ask
	Due bool
}

// OverRate is a workspace that an entry refused within the last minute.
type OverRate struct {
	Workspace waxwingpick.WorkspaceID `json:"workspace"`
	// Refused counts the requests since the workspace was over its rate first, without a minute's pause.
	Refused int `json:"refused"`
}

// bucket is what an entry holds of one workspace's rate.
type bucket struct {
	limit   Limit
	tokens  float64
	updated time.Time
	// leaseEnd is when the tokens above the base expire.
	leaseEnd time.Time
	// offered and refilled count since the owner last answered, at answered.
	offered  float64
	refilled float64
	answered time.Time
	// inflow is the number of tokens a second that came in between the last two answers.
	inflow float64
	// owner is found anew for each list of entries.
	owner   waxwingpick.InstanceID
	ownerOf int
	asking  bool
	askedAt time.Time
	nextAsk time.Time
	repeats int
	// failures counts asks in a row that the owner did not answer.
	failures    int
	refused     int
	lastRefused time.Time
}

// Checker admits the requests at one entry; its host keeps calls from running at once.
type Checker struct {
	owners []waxwingpick.InstanceID
	known  int
	// list counts the lists of entries that were taken.
	list    int
	buckets *simplelru.LRU[waxwingpick.WorkspaceID, *bucket]
}

// NewChecker returns a checker of an entry that knows no other; it fails when an option is out of its bounds.
func NewChecker(opts ...Option) (*Checker, error) {
	s, err := newSettings(opts)
	if err != nil {
		return nil, err
	}
	l, err := simplelru.NewLRU[waxwingpick.WorkspaceID, *bucket](s.workspaces, nil)
	if err != nil {
		return nil, fmt.Errorf("quota buckets: %w", err)
	}
	return &Checker{
		known:   1,
		list:    1,
		buckets: l,
	}, nil
}

// SetEntries takes the entries that may own rates, and the number of all that serve.
func (c *Checker) SetEntries(owners []waxwingpick.InstanceID, serving int) {
	c.known = max(1, serving)
	// The platform's list has no order that lasts.
	owners = slices.Sorted(slices.Values(owners))
	if !slices.Equal(owners, c.owners) {
		c.owners = owners
		c.list++
	}
}

// Check decides on one request of a workspace.
func (c *Checker) Check(now time.Time, workspace waxwingpick.WorkspaceID, limit Limit) Verdict {
	if limit.Unbounded() {
		return Verdict{
			Admitted: true,
		}
	}
	b := c.bucket(now, workspace, limit)
	b.offered++
	b.repeats = 0
	var v Verdict
	if b.tokens >= enough {
		b.tokens--
		v.Admitted = true
	} else {
		b.refuse(now)
		v.RetryAfter = b.retryAfter(now, c.known)
	}
	v.Ask, v.Due = c.ask(now, workspace, b)
	return v
}

// Repeat returns what to ask where the wait after a grant is over and a next request would still be refused.
func (c *Checker) Repeat(now time.Time, workspace waxwingpick.WorkspaceID) (Ask, bool) {
	b, ok := c.buckets.Peek(workspace)
	if !ok || b.repeats >= mostRepeats {
		return Ask{}, false
	}
	b.refill(now, c.known)
	if b.tokens >= enough {
		return Ask{}, false
	}
	b.repeats++
	return c.ask(now, workspace, b)
}

// Granted takes the owner's answer and returns when to call Repeat, zero where that is not needed.
func (c *Checker) Granted(now time.Time, ask Ask, g Grant) time.Duration {
	b, ok := c.answered(ask)
	if !ok {
		return 0
	}
	b.refill(now, c.known)
	b.failures = 0
	passed := max(leadTime, now.Sub(b.answered))
	b.inflow = min(b.limit.perSecond, (g.Tokens+ask.Refilled)/passed.Seconds())
	b.answered = now
	b.offered = max(0, b.offered-ask.Offered)
	b.refilled = max(0, b.refilled-ask.Refilled)
	b.take(now, ask, g.Tokens, c.known)
	wait := time.Duration(g.WaitMillis) * time.Millisecond
	b.nextAsk = now.Add(wait)
	if b.tokens >= enough {
		return 0
	}
	return wait
}

// Failed says that the owner did not answer. What was asked is told again, though the owner may have counted it.
func (c *Checker) Failed(now time.Time, ask Ask) {
	b, ok := c.answered(ask)
	if !ok {
		return
	}
	b.refill(now, c.known)
	pause := min(mostPause, leastPause<<min(b.failures, 8))
	b.failures++
	b.nextAsk = now.Add(pause)
}

// Held returns the number of workspaces that are remembered.
func (c *Checker) Held() int {
	return c.buckets.Len()
}

// OverRate returns the workspaces that were refused within the last minute, in no order.
func (c *Checker) OverRate(now time.Time) []OverRate {
	var over []OverRate
	for _, workspace := range c.buckets.Keys() {
		b, _ := c.buckets.Peek(workspace)
		if b.refused > 0 && now.Sub(b.lastRefused) < refusalsKept {
			over = append(over, OverRate{
				Workspace: workspace,
				Refused:   b.refused,
			})
		}
	}
	return over
}

// answered returns the bucket whose ask has ended, none where it was forgotten or has asked again since.
func (c *Checker) answered(ask Ask) (*bucket, bool) {
	b, ok := c.buckets.Peek(ask.Workspace)
	if !ok || !b.asking || !b.askedAt.Equal(ask.sentAt) {
		return nil, false
	}
	b.asking = false
	return b, true
}

func (c *Checker) bucket(now time.Time, workspace waxwingpick.WorkspaceID, limit Limit) *bucket {
	b, ok := c.buckets.Get(workspace)
	if !ok {
		b = &bucket{
			limit:    limit,
			tokens:   limit.Base(c.known),
			updated:  now,
			answered: now,
		}
		c.buckets.Add(workspace, b)
	}
	b.limit = limit
	b.refill(now, c.known)
	return b
}

// ask returns what to ask the owner where a bucket is under half of its base and the owner may be asked.
func (c *Checker) ask(now time.Time, workspace waxwingpick.WorkspaceID, b *bucket) (Ask, bool) {
	base := b.limit.Base(c.known)
	lost := b.asking && now.Sub(b.askedAt) >= Lifetime
	if b.tokens >= base/2 || now.Before(b.nextAsk) || b.asking && !lost {
		return Ask{}, false
	}
	if b.ownerOf != c.list {
		b.owner = ownerOf(workspace, c.owners)
		b.ownerOf = c.list
	}
	b.asking = true
	b.askedAt = now
	passed := max(0, now.Sub(b.answered))
	told := min(passed, offeredWindow)
	passed = max(leadTime, passed)
	b.offered *= min(1, offeredWindow.Seconds()/passed.Seconds())
	lead := b.offered * leadTime.Seconds() / passed.Seconds()
	return Ask{
		Workspace:    workspace,
		Offered:      rounded(b.offered),
		Refilled:     rounded(b.refilled),
		Room:         rounded(base + lead - b.tokens),
		PassedMillis: told.Milliseconds(),
		owner:        b.owner,
		sentAt:       now,
	}, true
}

// refill adds the entry's own part of the rate: its even share while the owner does not answer, else a fraction of it.
func (b *bucket) refill(now time.Time, entries int) {
	passed := now.Sub(b.updated)
	if passed <= 0 {
		return
	}
	b.updated = now
	base := b.limit.Base(entries)
	if b.tokens > base && !now.Before(b.leaseEnd) {
		b.tokens = base
	}
	rate := b.limit.perSecond / float64(entries)
	if b.failures == 0 {
		rate *= SilentFraction
	}
	b.give(now, rate*passed.Seconds(), base)
}

// give adds the entry's own part up to the base.
func (b *bucket) give(now time.Time, tokens, base float64) {
	missing := base - b.tokens
	if missing <= 0 {
		return
	}
	if tokens < missing {
		b.tokens += tokens
		b.refilled = min(base, b.refilled+tokens)
		return
	}
	// The workspace was quiet for so long that the entry's own part covered it: there is nothing to tell.
	b.tokens = base
	b.offered, b.refilled = 0, 0
	b.answered = now
}

// refuse counts a refusal.
func (b *bucket) refuse(now time.Time) {
	if now.Sub(b.lastRefused) >= refusalsKept {
		b.refused = 0
	}
	b.refused++
	b.lastRefused = now
}

// take adds granted tokens; those that are there only after their lifetime count up to the base.
func (b *bucket) take(now time.Time, ask Ask, tokens float64, entries int) {
	end := ask.sentAt.Add(Lifetime)
	base := b.limit.Base(entries)
	if !now.Before(end) {
		b.tokens = max(b.tokens, min(base, b.tokens+tokens))
		return
	}
	b.tokens += tokens
	if b.tokens > base {
		b.leaseEnd = end
	}
}

// retryAfter predicts when the bucket holds a token, by what came in lately, and not before the owner is asked again.
func (b *bucket) retryAfter(now time.Time, entries int) time.Duration {
	rate := b.inflow
	switch {
	case b.failures > 0:
		rate = b.limit.perSecond / float64(entries)
	case rate <= 0:
		rate = b.limit.perSecond
	}
	seconds := min(mostRetryAfter.Seconds(), (1-b.tokens)/rate)
	return max(leastRetryAfter, time.Duration(seconds*float64(time.Second)), b.nextAsk.Sub(now))
}
