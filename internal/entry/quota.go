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
	// maxQuotaWorkspaces is the maximum number of workspaces whose rates are tracked.
	maxQuotaWorkspaces = 8192
	// quotaShards is the number of shards of the workspaces' buckets. Each shard has its own lock.
	quotaShards = 16
	// quotaTimeout bounds a token request to the owner. Callers' requests do not wait for it.
	quotaTimeout = 500 * time.Millisecond
	// maxOverRateWorkspaces is the maximum number of workspaces over their rates that one entry reports to operators.
	maxOverRateWorkspaces = 16
	// workspaceBurstSeconds is the burst of a workspace, in seconds of its rate.
	workspaceBurstSeconds = 2
)

// quotas holds this entry's token buckets of workspaces, and the reserves of the workspaces that it owns.
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

// workspaceLimits holds the workspace rates of the accepted configuration.
type workspaceLimits struct {
	common    quota.Limit
	overrides map[waxwingpick.WorkspaceID]quota.Limit
}

func newQuotas(self waxwingpick.InstanceID) (*quotas, error) {
	q := &quotas{}
	q.limits.Store(&workspaceLimits{})
	for i := range q.shards {
		c, err := quota.NewChecker(quota.Workspaces(maxQuotaWorkspaces / quotaShards))
		if err != nil {
			return nil, fmt.Errorf("create quota checker: %w", err)
		}
		q.shards[i].checker = c
	}
	var err error
	if q.owner, err = quota.NewOwner(self, quota.Workspaces(maxQuotaWorkspaces)); err != nil {
		return nil, fmt.Errorf("create quota owner: %w", err)
	}
	return q, nil
}

// setLimits applies the limits of the accepted configuration.
func (q *quotas) setLimits(limits config.Limits) {
	l := &workspaceLimits{
		common:    workspaceLimit(limits.WorkspaceRequestsPerSecond),
		overrides: make(map[waxwingpick.WorkspaceID]quota.Limit, len(limits.WorkspaceRates)),
	}
	for _, r := range limits.WorkspaceRates {
		l.overrides[r.Workspace] = workspaceLimit(r.RequestsPerSecond)
	}
	q.limits.Store(l)
}

func workspaceLimit(perSecond float64) quota.Limit {
	return quota.NewLimit(perSecond, workspaceBurstSeconds*perSecond)
}

// limit returns the rate limit of a workspace.
func (q *quotas) limit(workspace waxwingpick.WorkspaceID) quota.Limit {
	l := q.limits.Load()
	if override, ok := l.overrides[workspace]; ok {
		return override
	}
	return l.common
}

// setEntries applies the entries of the platform's list.
func (q *quotas) setEntries(now time.Time, list []waxwingpick.Instance) {
	owners := activeEntries(list)
	serving := waxwingpick.CountKind(list, waxwingpick.KindEntry)
	q.forEachShard(func(c *quota.Checker) {
		c.SetEntries(owners, serving)
	})
	q.ownerMu.Lock()
	defer q.ownerMu.Unlock()
	q.owner.SetEntries(now, owners)
}

// withChecker calls action with the checker of a workspace's shard, under the shard's lock.
func (q *quotas) withChecker(workspace waxwingpick.WorkspaceID, action func(*quota.Checker)) {
	q.shards[xxhash.Sum64String(string(workspace))%quotaShards].locked(action)
}

// forEachShard calls action for each shard in turn, under the shard's lock.
func (q *quotas) forEachShard(action func(*quota.Checker)) {
	for i := range q.shards {
		q.shards[i].locked(action)
	}
}

func (s *quotaShard) locked(action func(*quota.Checker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action(s.checker)
}

// check decides whether the workspace's rate admits a request.
func (q *quotas) check(now time.Time, workspace waxwingpick.WorkspaceID) (v quota.Verdict) {
	limit := q.limit(workspace)
	q.withChecker(workspace, func(c *quota.Checker) {
		v = c.Check(now, workspace, limit)
	})
	return v
}

// grant serves a token request as the owner of the workspace's rate.
func (q *quotas) grant(now time.Time, request quota.TokenRequest) (quota.Grant, error) {
	q.ownerMu.Lock()
	defer q.ownerMu.Unlock()
	return q.owner.Grant(now, request, q.limit(request.Workspace))
}

// overRate returns the workspaces with the most requests refused by this entry within the last minute.
func (q *quotas) overRate(now time.Time) []quota.OverRate {
	var over []quota.OverRate
	q.forEachShard(func(c *quota.Checker) {
		over = append(over, c.OverRate(now)...)
	})
	slices.SortFunc(over, func(a, b quota.OverRate) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return over[:min(len(over), maxOverRateWorkspaces)]
}

// trackedWorkspaces returns the number of workspaces that have a bucket.
func (q *quotas) trackedWorkspaces() int {
	n := 0
	q.forEachShard(func(c *quota.Checker) {
		n += c.Workspaces()
	})
	return n
}

// checkQuota admits a request under its workspace's fleet-wide rate, or refuses it immediately if the rate is exhausted.
func (p *Process) checkQuota(now time.Time, workspace waxwingpick.WorkspaceID) error {
	v := p.quotas.check(now, workspace)
	if v.Due {
		p.requestTokens(v.Request)
	}
	if v.Admitted {
		return nil
	}
	return waxwingpick.NotRun(waxwingpick.ReasonRateLimit, v.RetryAfter, "workspace "+string(workspace)+" is over its rate")
}

// recordRateLimited records a model request that was refused by its workspace's rate limit.
func (p *Process) recordRateLimited(service waxwingpick.ServiceName, workspace waxwingpick.WorkspaceID, class waxwingpick.Class, err error) {
	p.outcomes.record(p.timers.Now(), requestResult{
		service:   service,
		class:     class,
		preset:    p.preset().Name,
		workspace: workspace,
		err:       err,
	})
}

// requestTokens sends a token request to the owner in the background. If this entry is the owner, the grant is immediate.
func (p *Process) requestTokens(request quota.TokenRequest) {
	if request.Owner() == p.options.Instance {
		g, err := p.quotas.grant(p.timers.Now(), request)
		p.finishTokenRequest(request, g, err)
		return
	}
	// A stopping process does not start the call, and the token request then times out.
	p.work.Start(func() {
		g, err := p.callQuotaOwner(request)
		p.finishTokenRequest(request, g, err)
	})
}

// callQuotaOwner sends a token request to the entry that owns the workspace's rate.
func (p *Process) callQuotaOwner(request quota.TokenRequest) (quota.Grant, error) {
	control, ok := p.controlAddr(request.Owner())
	if !ok {
		return quota.Grant{}, fmt.Errorf("entry %q is not in the instance list: %w", request.Owner(), waxwingpick.ErrPeerUnreachable)
	}
	ctx, cancel := context.WithTimeout(p.lifecycle, quotaTimeout)
	defer cancel()
	var g quota.Grant
	err := p.client.Call(ctx, control, sidecar.MethodQuota, request, &g)
	return g, err
}

// finishTokenRequest applies the result of a token request.
func (p *Process) finishTokenRequest(request quota.TokenRequest, g quota.Grant, err error) {
	p.outcomes.metrics.QuotaRequest(tokenRequestResult(g, err))
	now := p.timers.Now()
	if err != nil {
		p.log.WithField("owner", request.Owner()).WithField("error", err.Error()).Debug("token request to the workspace's rate owner failed")
		p.quotas.withChecker(request.Workspace, func(c *quota.Checker) {
			c.Failed(now, request)
		})
		return
	}
	var wait time.Duration
	p.quotas.withChecker(request.Workspace, func(c *quota.Checker) {
		wait = c.Granted(now, request, g)
	})
	if wait > 0 {
		p.timers.After(wait, func(now time.Time) {
			p.repeatTokenRequest(now, request.Workspace)
		})
	}
}

func tokenRequestResult(g quota.Grant, err error) prometheus.QuotaResult {
	switch {
	case err != nil:
		return prometheus.QuotaFailed
	case g.WaitMillis > 0:
		return prometheus.QuotaInsufficient
	}
	return prometheus.QuotaGranted
}

// repeatTokenRequest requests tokens again if the workspace's next request would be refused.
func (p *Process) repeatTokenRequest(now time.Time, workspace waxwingpick.WorkspaceID) {
	var request quota.TokenRequest
	var due bool
	p.quotas.withChecker(workspace, func(c *quota.Checker) {
		request, due = c.Repeat(now, workspace)
	})
	if due {
		p.requestTokens(request)
	}
}

// handleQuota serves a token request from another entry.
func (p *Process) handleQuota(_ context.Context, request quota.TokenRequest) (quota.Grant, error) {
	return p.quotas.grant(p.timers.Now(), request)
}
