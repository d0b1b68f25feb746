package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
)

const (
	// minTokens is the number of tokens that a bucket must hold to admit a request. It is slightly below 1 because
	// amounts are rounded down in messages.
	minTokens = 0.99
	// leadTime is the period whose expected demand an entry requests in addition to its base.
	leadTime = 500 * time.Millisecond
	// offeredWindow is the maximum period whose requests a token request reports, so that an old count is not taken for
	// current demand.
	offeredWindow = 10 * time.Second
	// minPause and maxPause bound the backoff after an owner did not respond. Each failure in a row doubles it.
	minPause = time.Second
	maxPause = 8 * time.Second
	// maxRepeats bounds the consecutive token requests that are not caused by an incoming request.
	maxRepeats = 16
	// refusalRetention is how long after its last refusal a workspace counts as over its rate.
	refusalRetention = time.Minute
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Verdict is the result of Check: whether the request is admitted, and whether to request more tokens from the owner.
type Verdict struct {
	Admitted bool
	// RetryAfter is the predicted time until a refused request would be admitted.
	RetryAfter time.Duration
	// Request is the token request to send to the owner if Due is set. The caller must then call Granted or Failed.
	Request TokenRequest
	Due     bool
}

// OverRate describes a workspace of which an entry refused requests within the last minute.
type OverRate struct {
	Workspace waxwingpick.WorkspaceID `json:"workspace"`
	// Refused counts the refused requests since the last period of a minute without refusals.
	Refused int `json:"refused"`
}

// bucket is an entry's token bucket for one workspace.
type bucket struct {
	limit   Limit
	tokens  float64
	updated time.Time
	// leaseEnd is when the tokens above the base expire.
	leaseEnd time.Time
	// offered and refilled count requests and locally added tokens since the owner's last response, at respondedAt.
	offered     float64
	refilled    float64
	respondedAt time.Time
	// inflow is the number of tokens per second that were added between the last two responses.
	inflow float64
	// owner is valid for the list of entries with the number ownerList.
	owner         waxwingpick.InstanceID
	ownerList     int
	pending       bool
	requestedAt   time.Time
	nextRequestAt time.Time
	repeats       int
	// failures counts the consecutive token requests to which the owner did not respond.
	failures    int
	refused     int
	lastRefused time.Time
}

// Checker decides on the admission of requests at one entry. It is not safe for concurrent use.
type Checker struct {
	owners  []waxwingpick.InstanceID
	serving int
	// list is the number of the current list of entries.
	list    int
	buckets *simplelru.LRU[waxwingpick.WorkspaceID, *bucket]
}

// NewChecker returns a checker that assumes a single entry until SetEntries is called. It fails if an option is out of
// bounds.
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
		serving: 1,
		list:    1,
		buckets: l,
	}, nil
}

// SetEntries sets the entries that may own rates, and the number of all serving entries.
func (c *Checker) SetEntries(owners []waxwingpick.InstanceID, servingEntries int) {
	c.serving = max(1, servingEntries)
	// The order of the platform's list is not stable.
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
	if b.tokens >= minTokens {
		b.tokens--
		v.Admitted = true
	} else {
		b.countRefusal(now)
		v.RetryAfter = b.retryAfter(now, c.serving)
	}
	v.Request, v.Due = c.nextRequest(now, workspace, b)
	return v
}

// Repeat returns a further token request if the wait after a grant is over and the next request would still be refused.
func (c *Checker) Repeat(now time.Time, workspace waxwingpick.WorkspaceID) (TokenRequest, bool) {
	b, ok := c.buckets.Peek(workspace)
	if !ok || b.repeats >= maxRepeats {
		return TokenRequest{}, false
	}
	b.refill(now, c.serving)
	if b.tokens >= minTokens {
		return TokenRequest{}, false
	}
	b.repeats++
	return c.nextRequest(now, workspace, b)
}

// Granted applies the owner's response and returns the delay after which to call Repeat, zero if that is not needed.
func (c *Checker) Granted(now time.Time, request TokenRequest, g Grant) time.Duration {
	b, ok := c.finish(request)
	if !ok {
		return 0
	}
	b.refill(now, c.serving)
	b.failures = 0
	elapsed := max(leadTime, now.Sub(b.respondedAt))
	b.inflow = min(b.limit.perSecond, (g.Tokens+request.Refilled)/elapsed.Seconds())
	b.respondedAt = now
	b.offered = max(0, b.offered-request.Offered)
	b.refilled = max(0, b.refilled-request.Refilled)
	b.addGranted(now, request, g.Tokens, c.serving)
	wait := time.Duration(g.WaitMillis) * time.Millisecond
	b.nextRequestAt = now.Add(wait)
	if b.tokens >= minTokens {
		return 0
	}
	return wait
}

// Failed records that the owner did not respond. The counts of the token request are reported again in the next one,
// although the owner may have received them.
func (c *Checker) Failed(now time.Time, request TokenRequest) {
	b, ok := c.finish(request)
	if !ok {
		return
	}
	b.refill(now, c.serving)
	pause := min(maxPause, minPause<<min(b.failures, 8))
	b.failures++
	b.nextRequestAt = now.Add(pause)
}

// Workspaces returns the number of workspaces with a bucket.
func (c *Checker) Workspaces() int {
	return c.buckets.Len()
}

// OverRate returns the workspaces with refused requests in the last minute, in no particular order.
func (c *Checker) OverRate(now time.Time) []OverRate {
	var over []OverRate
	for _, workspace := range c.buckets.Keys() {
		b, _ := c.buckets.Peek(workspace)
		if b.refused > 0 && now.Sub(b.lastRefused) < refusalRetention {
			over = append(over, OverRate{
				Workspace: workspace,
				Refused:   b.refused,
			})
		}
	}
	return over
}

// finish ends the outstanding token request and returns its bucket. It returns false if the bucket was evicted or has
// issued another token request since.
func (c *Checker) finish(request TokenRequest) (*bucket, bool) {
	b, ok := c.buckets.Peek(request.Workspace)
	if !ok || !b.pending || !b.requestedAt.Equal(request.sentAt) {
		return nil, false
	}
	b.pending = false
	return b, true
}

func (c *Checker) bucket(now time.Time, workspace waxwingpick.WorkspaceID, limit Limit) *bucket {
	b, ok := c.buckets.Get(workspace)
	if !ok {
		b = &bucket{
			limit:       limit,
			tokens:      limit.Base(c.serving),
			updated:     now,
			respondedAt: now,
		}
		c.buckets.Add(workspace, b)
	}
	b.limit = limit
	b.refill(now, c.serving)
	return b
}

// nextRequest returns the next token request if the bucket is below half of its base and neither a wait nor an
// outstanding request prevents it.
func (c *Checker) nextRequest(now time.Time, workspace waxwingpick.WorkspaceID, b *bucket) (TokenRequest, bool) {
	base := b.limit.Base(c.serving)
	expired := b.pending && now.Sub(b.requestedAt) >= Lifetime
	if b.tokens >= base/2 || now.Before(b.nextRequestAt) || b.pending && !expired {
		return TokenRequest{}, false
	}
	if b.ownerList != c.list {
		b.owner = ownerOf(workspace, c.owners)
		b.ownerList = c.list
	}
	b.pending = true
	b.requestedAt = now
	elapsed := max(0, now.Sub(b.respondedAt))
	reported := min(elapsed, offeredWindow)
	elapsed = max(leadTime, elapsed)
	b.offered *= min(1, offeredWindow.Seconds()/elapsed.Seconds())
	lead := b.offered * leadTime.Seconds() / elapsed.Seconds()
	return TokenRequest{
		Workspace:     workspace,
		Offered:       roundDown(b.offered),
		Refilled:      roundDown(b.refilled),
		MaxTokens:     roundDown(base + lead - b.tokens),
		ElapsedMillis: reported.Milliseconds(),
		owner:         b.owner,
		sentAt:        now,
	}, true
}

// refill adds the entry's local part of the rate: its even share while the owner does not respond, otherwise a
// fraction of that share.
func (b *bucket) refill(now time.Time, entries int) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	base := b.limit.Base(entries)
	if b.tokens > base && !now.Before(b.leaseEnd) {
		b.tokens = base
	}
	rate := b.limit.perSecond / float64(entries)
	if b.failures == 0 {
		rate *= UnreportedFraction
	}
	b.addLocal(now, rate*elapsed.Seconds(), base)
}

// addLocal adds locally refilled tokens up to the base.
func (b *bucket) addLocal(now time.Time, tokens, base float64) {
	missing := base - b.tokens
	if missing <= 0 {
		return
	}
	if tokens < missing {
		b.tokens += tokens
		b.refilled = min(base, b.refilled+tokens)
		return
	}
	// The local part covers all demand since the last response, so there is nothing to report to the owner.
	b.tokens = base
	b.offered, b.refilled = 0, 0
	b.respondedAt = now
}

// countRefusal counts a refused request. The count restarts after a minute without refusals.
func (b *bucket) countRefusal(now time.Time) {
	if now.Sub(b.lastRefused) >= refusalRetention {
		b.refused = 0
	}
	b.refused++
	b.lastRefused = now
}

// addGranted adds granted tokens. Tokens that arrive after their lifetime are added only up to the base.
func (b *bucket) addGranted(now time.Time, request TokenRequest, tokens float64, entries int) {
	end := request.sentAt.Add(Lifetime)
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

// retryAfter predicts the time until the bucket holds a token from the recent inflow. It is never earlier than the
// next token request.
func (b *bucket) retryAfter(now time.Time, entries int) time.Duration {
	rate := b.inflow
	switch {
	case b.failures > 0:
		rate = b.limit.perSecond / float64(entries)
	case rate <= 0:
		rate = b.limit.perSecond
	}
	seconds := min(maxRetryAfter.Seconds(), (1-b.tokens)/rate)
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)), b.nextRequestAt.Sub(now))
}
