package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/quota"
	"waxwingpick/io/prometheus"
	"waxwingpick/io/sidecar"
)

const (
	// quotaWorkspaces bounds the workspaces whose rates are remembered.
	quotaWorkspaces = 8192
	// quotaShards is the number of parts, each under its own lock, that the workspaces' buckets are spread over.
	quotaShards = 16
	// quotaTimeout bounds an ask for tokens; no request waits for it.
	quotaTimeout = 500 * time.Millisecond
	// reportedOverRate bounds the workspaces over their rates that operators hear of from one entry.
	reportedOverRate = 16
	// workspaceBurst is the time in seconds whose requests a workspace may send at once.
	workspaceBurst = 2
)

// quotas holds the rates of workspaces at this entry: its own buckets, and the reserves of the workspaces that it owns.
type quotas struct {
	limits atomic.Pointer[workspaceLimits]
	shards [quotaShards]quotaShard

	ownerMu sync.Mutex
	owner   *quota.Owner
}

// quotaShard holds the buckets of some workspaces.
type quotaShard struct {
	mu      sync.Mutex
	checker *quota.Checker
}

// workspaceLimits is what the accepted configuration says of rates.
type workspaceLimits struct {
	common quota.Limit
	own    map[waxwingpick.WorkspaceID]quota.Limit
}

func newQuotas(self waxwingpick.InstanceID) (*quotas, error) {
	q := &quotas{}
	q.limits.Store(&workspaceLimits{})
	for i := range q.shards {
		c, err := quota.NewChecker(quota.Workspaces(quotaWorkspaces / quotaShards))
		if err != nil {
			return nil, fmt.Errorf("create quota checker: %w", err)
		}
		q.shards[i].checker = c
	}
	var err error
	if q.owner, err = quota.NewOwner(self, quota.Workspaces(quotaWorkspaces)); err != nil {
		return nil, fmt.Errorf("create quota owner: %w", err)
	}
	return q, nil
}

// setLimits follows the accepted configuration.
func (q *quotas) setLimits(limits config.Limits) {
	l := &workspaceLimits{
		common: workspaceLimit(limits.WorkspaceRequestsPerSecond),
		own:    make(map[waxwingpick.WorkspaceID]quota.Limit, len(limits.WorkspaceRates)),
	}
	for _, r := range limits.WorkspaceRates {
		l.own[r.Workspace] = workspaceLimit(r.RequestsPerSecond)
	}
	q.limits.Store(l)
}

func workspaceLimit(perSecond float64) quota.Limit {
	return quota.NewLimit(perSecond, workspaceBurst*perSecond)
}

// limit returns the rate of a workspace.
func (q *quotas) limit(workspace waxwingpick.WorkspaceID) quota.Limit {
	l := q.limits.Load()
	if own, ok := l.own[workspace]; ok {
		return own
	}
	return l.common
}

// setEntries follows the platform's list.
func (q *quotas) setEntries(now time.Time, list []waxwingpick.Instance) {
	owners := stayingEntries(list)
	serving := waxwingpick.CountKind(list, waxwingpick.KindEntry)
	q.each(func(c *quota.Checker) {
		c.SetEntries(owners, serving)
	})
	q.ownerMu.Lock()
	defer q.ownerMu.Unlock()
	q.owner.SetEntries(now, owners)
}

// at runs an action under the lock of a workspace's shard.
func (q *quotas) at(workspace waxwingpick.WorkspaceID, action func(*quota.Checker)) {
	q.shards[xxhash.Sum64String(string(workspace))%quotaShards].locked(action)
}

// each runs an action on one shard after the other, under its lock.
func (q *quotas) each(action func(*quota.Checker)) {
	for i := range q.shards {
		q.shards[i].locked(action)
	}
}

func (s *quotaShard) locked(action func(*quota.Checker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action(s.checker)
}

// check decides on a request.
func (q *quotas) check(now time.Time, workspace waxwingpick.WorkspaceID) (v quota.Verdict) {
	limit := q.limit(workspace)
	q.at(workspace, func(c *quota.Checker) {
		v = c.Check(now, workspace, limit)
	})
	return v
}

// grant answers an ask as the owner of its workspace's rate.
func (q *quotas) grant(now time.Time, ask quota.Ask) (quota.Grant, error) {
	q.ownerMu.Lock()
	defer q.ownerMu.Unlock()
	return q.owner.Grant(now, ask, q.limit(ask.Workspace))
}

// overRate returns the workspaces that this entry refused most within the last minute.
func (q *quotas) overRate(now time.Time) []quota.OverRate {
	var over []quota.OverRate
	q.each(func(c *quota.Checker) {
		over = append(over, c.OverRate(now)...)
	})
	slices.SortFunc(over, func(a, b quota.OverRate) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return over[:min(len(over), reportedOverRate)]
}

// held returns the number of workspaces whose buckets are remembered.
func (q *quotas) held() int {
	n := 0
	q.each(func(c *quota.Checker) {
		n += c.Held()
	})
	return n
}

// checkQuota admits a request by its workspace's rate over the whole fleet, and refuses it at once where it is used up.
func (p *Process) checkQuota(now time.Time, workspace waxwingpick.WorkspaceID) error {
	v := p.quotas.check(now, workspace)
	if v.Due {
		p.startAsk(v.Ask)
	}
	if v.Admitted {
		return nil
	}
	return waxwingpick.NotRun(waxwingpick.ReasonRateLimit, v.RetryAfter, "workspace "+string(workspace)+" is over its rate")
}

// overRate records a model request that its workspace's rate refused.
func (p *Process) overRate(service waxwingpick.ServiceName, workspace waxwingpick.WorkspaceID, class waxwingpick.Class, err error) {
	p.outcomes.record(p.timers.Now(), ended{
		service:   service,
		class:     class,
		preset:    p.preset().Name,
		workspace: workspace,
		err:       err,
	})
}

// startAsk asks the owner beside the request that called for it; what the entry owns itself is answered at once.
func (p *Process) startAsk(ask quota.Ask) {
	if ask.Owner() == p.options.Instance {
		g, err := p.quotas.grant(p.timers.Now(), ask)
		p.endAsk(ask, g, err)
		return
	}
	// Where the process stops, nobody asks any more; the ask counts as lost after a while.
	p.work.Start(func() {
		g, err := p.callOwner(ask)
		p.endAsk(ask, g, err)
	})
}

// callOwner hands an ask to the entry that owns the workspace's rate.
func (p *Process) callOwner(ask quota.Ask) (quota.Grant, error) {
	control, ok := p.controlOf(ask.Owner())
	if !ok {
		return quota.Grant{}, fmt.Errorf("entry %q is not on the platform's list: %w", ask.Owner(), waxwingpick.ErrPeerUnreachable)
	}
	ctx, cancel := context.WithTimeout(p.lifecycle, quotaTimeout)
	defer cancel()
	var g quota.Grant
	err := p.client.Call(ctx, control, sidecar.MethodQuota, ask, &g)
	return g, err
}

// endAsk takes the owner's answer to an ask.
func (p *Process) endAsk(ask quota.Ask, g quota.Grant, err error) {
	p.outcomes.metrics.QuotaAsk(askResult(g, err))
	now := p.timers.Now()
	if err != nil {
		p.log.WithField("owner", ask.Owner()).WithField("error", err.Error()).Debug("no answer about a workspace's rate")
		p.quotas.at(ask.Workspace, func(c *quota.Checker) {
			c.Failed(now, ask)
		})
		return
	}
	var wait time.Duration
	p.quotas.at(ask.Workspace, func(c *quota.Checker) {
		wait = c.Granted(now, ask, g)
	})
	if wait > 0 {
		p.timers.After(wait, func(now time.Time) {
			p.repeatAsk(now, ask.Workspace)
		})
	}
}

func askResult(g quota.Grant, err error) prometheus.AskResult {
	switch {
	case err != nil:
		return prometheus.AskFailed
	case g.WaitMillis > 0:
		return prometheus.AskShort
	}
	return prometheus.AskGranted
}

// repeatAsk asks again where a next request of the workspace would be refused.
func (p *Process) repeatAsk(now time.Time, workspace waxwingpick.WorkspaceID) {
	var ask quota.Ask
	var due bool
	p.quotas.at(workspace, func(c *quota.Checker) {
		ask, due = c.Repeat(now, workspace)
	})
	if due {
		p.startAsk(ask)
	}
}

// takeQuota answers another entry's ask.
func (p *Process) takeQuota(_ context.Context, ask quota.Ask) (quota.Grant, error) {
	return p.quotas.grant(p.timers.Now(), ask)
}
