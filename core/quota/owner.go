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
	// demandWindow is the time constant by which the owner averages what all entries are offered.
	demandWindow = 4 * time.Second
	// askPeriod is the time between two asks at an owner while workspaces are over their rates: the more buckets are short
	// of tokens, the longer each of them waits.
	askPeriod = 20 * time.Millisecond
	leastWait = 100 * time.Millisecond
	mostWait  = 10 * time.Second
	// plenty is the part of its reserve above which an owner grants whatever is asked, however large the demand seems.
	plenty = 0.5
)

// ErrNotOwner says that an entry was asked whose list names another owner.
var ErrNotOwner = eris.New("not the owner of the workspace's rate")

// reserve is what an owner holds of one workspace's rate.
type reserve struct {
	owned   bool
	tokens  float64
	updated time.Time
	// demand is the averaged number of requests a second at all entries.
	demand float64
}

// Owner grants tokens of the workspaces that an entry owns; its host keeps calls from running at once.
type Owner struct {
	self    waxwingpick.InstanceID
	entries []waxwingpick.InstanceID
	known   int
	// since is the time from which on a new reserve gathers the rate: nothing was granted here after it.
	since time.Time
	// askers is the averaged number of buckets that ask: each ask adds the time since the one before.
	askers   float64
	asked    time.Time
	reserves *simplelru.LRU[waxwingpick.WorkspaceID, *reserve]
}

// NewOwner returns the owner's part of an entry; it fails when an option is out of its bounds.
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

// SetEntries takes the entries that may own rates. A changed list empties every reserve:
// what another entry granted meanwhile is not known here.
func (o *Owner) SetEntries(now time.Time, owners []waxwingpick.InstanceID) {
	// The platform's list has no order that lasts.
	owners = slices.Sorted(slices.Values(owners))
	if slices.Equal(owners, o.entries) {
		return
	}
	o.entries = owners
	o.reserves.Purge()
	o.since = now
}

// Grant answers an entry's ask by the limit of its workspace; ErrNotOwner where this entry does not own it.
func (o *Owner) Grant(now time.Time, ask Ask, limit Limit) (Grant, error) {
	r := o.reserve(now, ask.Workspace)
	if !r.owned {
		return Grant{}, fmt.Errorf("workspace %s: %w", ask.Workspace, ErrNotOwner)
	}
	if limit.Unbounded() {
		return Grant{
			Tokens: ask.Room,
		}, nil
	}
	r.refill(now, limit)
	r.count(ask, limit)
	o.count(now, ask)
	tokens := rounded(max(0, min(ask.Room, r.share(ask, limit))))
	r.tokens -= tokens
	g := Grant{
		Tokens: tokens,
	}
	if missing := ask.Room - tokens; missing > 0 {
		g.WaitMillis = o.wait(missing, limit).Milliseconds()
	}
	return g, nil
}

// reserve returns what is held for a workspace. A new one gathers from the last moment at which another one may have been
// used up: a former owner's, or a forgotten one.
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

// refill adds what the rate brought since the last ask.
func (r *reserve) refill(now time.Time, limit Limit) {
	passed := now.Sub(r.updated)
	if passed <= 0 {
		return
	}
	r.updated = now
	r.tokens = min(limit.Reserve(), r.tokens+passed.Seconds()*limit.perSecond)
	r.demand *= kept(passed)
}

// count takes in what the entry was offered and what it gave itself.
func (r *reserve) count(ask Ask, limit Limit) {
	r.demand += max(0, ask.Offered) / demandWindow.Seconds()
	r.tokens = max(-limit.Reserve(), r.tokens-max(0, ask.Refilled))
}

// share returns how many tokens the entry may have at most: every request of a workspace over its rate has the same
// chance, whichever entry it comes through.
func (r *reserve) share(ask Ask, limit Limit) float64 {
	if r.demand <= limit.perSecond || r.tokens >= plenty*limit.Reserve() {
		return r.tokens
	}
	return min(r.tokens, ask.Offered*limit.perSecond/r.demand-ask.Refilled)
}

// count takes in that a bucket asks.
func (o *Owner) count(now time.Time, ask Ask) {
	o.askers *= kept(now.Sub(o.asked))
	o.asked = now
	passed := time.Duration(max(0, ask.PassedMillis)) * time.Millisecond
	o.askers += passed.Seconds() / demandWindow.Seconds()
}

// kept returns the part of an average that is left after a time.
func kept(passed time.Duration) float64 {
	return math.Exp(-max(0, passed).Seconds() / demandWindow.Seconds())
}

// wait returns when the entry is to ask again that misses some tokens.
func (o *Owner) wait(missing float64, limit Limit) time.Duration {
	earned := time.Duration(min(1, missing) / limit.perSecond * float64(time.Second))
	spread := time.Duration(o.askers * float64(askPeriod))
	return min(mostWait, max(leastWait, spread, earned))
}
