package quota

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	// demandWindow is the time constant of the owner's average of the requests at all entries.
	demandWindow = 4 * time.Second
	// requestPeriod is the average time between two token requests at an owner while workspaces are over their rates. The
	// more buckets lack tokens, the longer each of them waits.
	requestPeriod = 20 * time.Millisecond
	minWait       = 100 * time.Millisecond
	maxWait       = 10 * time.Second
	// unsharedFraction is the fraction of its reserve above which an owner grants requests in full, whatever the demand.
	unsharedFraction = 0.5
)

// ErrNotOwner is returned by an entry that does not own the workspace's rate according to its list of entries.
var ErrNotOwner = eris.New("not the owner of the workspace's rate")

// reserve is an owner's token bucket for one workspace.
type reserve struct {
	owned   bool
	tokens  float64
	updated time.Time
	// demand is the average number of requests per second at all entries.
	demand float64
}

// Owner grants tokens for the workspaces that an entry owns. It is not safe for concurrent use.
type Owner struct {
	self    waxwingpick.InstanceID
	entries []waxwingpick.InstanceID
	serving int
	// since is the time from which a new reserve accumulates tokens. Nothing was granted here after it for workspaces
	// without a reserve.
	since time.Time
	// requesters is the average number of buckets that request tokens. Each token request adds the time since the previous
	// response.
	requesters float64
	lastAskAt  time.Time
	reserves   *simplelru.LRU[waxwingpick.WorkspaceID, *reserve]
}

// NewOwner returns the owner side of an entry. It fails if an option is out of bounds.
func NewOwner(self waxwingpick.InstanceID, opts ...Option) (*Owner, error) {
	s, err := newSettings(opts)
	if err != nil {
		return nil, err
	}
	l, err := simplelru.NewLRU[waxwingpick.WorkspaceID, *reserve](s.workspaces, nil)
	if err != nil {
		return nil, fmt.Errorf("quota reserves: %w", err)
	}
	return &Owner{
		self:     self,
		reserves: l,
	}, nil
}

// SetEntries sets the entries that may own rates. A changed list empties every reserve, because this entry does not
// know what other owners granted in the meantime.
func (o *Owner) SetEntries(now time.Time, owners []waxwingpick.InstanceID) {
	// The order of the platform's list is not stable.
	owners = slices.Sorted(slices.Values(owners))
	if slices.Equal(owners, o.entries) {
		return
	}
	o.entries = owners
	o.reserves.Purge()
	o.since = now
}

// Grant decides on an entry's token request under the limit of the workspace. It fails with ErrNotOwner if this entry
// does not own the workspace's rate.
func (o *Owner) Grant(now time.Time, request TokenRequest, limit Limit) (Grant, error) {
	r := o.reserve(now, request.Workspace)
	if !r.owned {
		return Grant{}, fmt.Errorf("workspace %s: %w", request.Workspace, ErrNotOwner)
	}
	if limit.Unbounded() {
		return Grant{
			Tokens: request.MaxTokens,
		}, nil
	}
	r.refill(now, limit)
	r.count(request, limit)
	o.count(now, request)
	tokens := roundDown(max(0, min(request.MaxTokens, r.share(request, limit))))
	r.tokens -= tokens
	g := Grant{
		Tokens: tokens,
	}
	if missing := request.MaxTokens - tokens; missing > 0 {
		g.WaitMillis = o.wait(missing, limit).Milliseconds()
	}
	return g, nil
}

// reserve returns the reserve of a workspace. A new one accumulates tokens only from the last time at which the
// workspace may have had another one, at a former owner or evicted here.
func (o *Owner) reserve(now time.Time, workspace waxwingpick.WorkspaceID) *reserve {
	if r, ok := o.reserves.Get(workspace); ok {
		return r
	}
	r := &reserve{
		owned:   ownerOf(workspace, o.entries) == o.self,
		updated: o.since,
	}
	if o.reserves.Add(workspace, r) {
		o.since = now
	}
	return r
}

// refill adds the tokens accumulated since the last token request.
func (r *reserve) refill(now time.Time, limit Limit) {
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return
	}
	r.updated = now
	r.tokens = min(limit.Reserve(), r.tokens+elapsed.Seconds()*limit.perSecond)
	r.demand *= decay(elapsed)
}

// count adds the requests offered at the entry to the demand and subtracts the tokens that it added locally.
func (r *reserve) count(request TokenRequest, limit Limit) {
	r.demand += max(0, request.Offered) / demandWindow.Seconds()
	r.tokens = max(-limit.Reserve(), r.tokens-max(0, request.Refilled))
}

// share returns the maximum number of tokens for the entry. It is proportional to the requests there, so that every
// request of a workspace over its rate has the same probability of admission, whichever entry receives it.
func (r *reserve) share(request TokenRequest, limit Limit) float64 {
	if r.demand <= limit.perSecond || r.tokens >= unsharedFraction*limit.Reserve() {
		return r.tokens
	}
	return min(r.tokens, request.Offered*limit.perSecond/r.demand-request.Refilled)
}

// count adds the bucket of a token request to the average number of requesters.
func (o *Owner) count(now time.Time, request TokenRequest) {
	o.requesters *= decay(now.Sub(o.lastAskAt))
	o.lastAskAt = now
	elapsed := time.Duration(max(0, request.ElapsedMillis)) * time.Millisecond
	o.requesters += elapsed.Seconds() / demandWindow.Seconds()
}

// decay returns the remaining fraction of an exponential average after the elapsed time.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / demandWindow.Seconds())
}

// wait returns the time after which an entry that lacks tokens may send a request again.
func (o *Owner) wait(missing float64, limit Limit) time.Duration {
	earned := time.Duration(min(1, missing) / limit.perSecond * float64(time.Second))
	spread := time.Duration(o.requesters * float64(requestPeriod))
	return min(maxWait, max(minWait, spread, earned))
}
