package gateway

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/routetable"
	"waxwingpick/core/trail"
	"waxwingpick/core/workspace"
)

const (
	// staleConfigAge is the age of the configuration from which an unknown key may be one that the operators have added since. A
	// gateway that reaches the key-value service, or another gateway that does, confirms its configuration more often.
	staleConfigAge = 2 * time.Second
	// staleConfigRetry is the Retry-After of a request with a key that such a gateway does not know. The caller's next connection
	// leads to another gateway.
	staleConfigRetry = 100 * time.Millisecond
	// noKey is logged in place of a key's digest for a request without one.
	noKey = "none"
)

// identify determines the workspace of a request, removes the key from it, and returns the reason if it is refused. The key of a
// request that needs none is passed on, unless the configuration has workspaces.
func (p *Process) identify(now time.Time, t *trail.Trail, table *routetable.Table, route routetable.Route, in *waxwingpick.Inbound) (workspace.Caller, *waxwingpick.Refusal) {
	workspaces, ok := table.Workspaces()
	if !ok {
		for _, value := range in.Authorization {
			in.Headers = append(in.Headers, waxwingpick.Header{
				Name:  "Authorization",
				Value: value,
			})
		}
		return workspace.Caller{}, nil
	}
	caller := workspaces.Identify(in.Authorization)
	if caller.Verdict == workspace.VerdictKnown || route.Public {
		return caller, nil
	}
	age := p.configAge(now)
	refusal := waxwingpick.NotRun(waxwingpick.ReasonUnauthorized, 0, "no key of a workspace")
	if caller.Verdict == workspace.VerdictUnknown && age > staleConfigAge {
		refusal = waxwingpick.NotRun(waxwingpick.ReasonStaleConfig, staleConfigRetry, "unknown key, and the configuration may be out of date")
	}
	p.options.Metrics.KeyRefused(caller.Verdict.String(), refusal.Reason)
	t.AddNotable(waxwingpick.ActionAccept.Of(now, "keyRefused", append(callerInputs(caller),
		waxwingpick.In("route", route.Name),
		waxwingpick.In("version", table.Version()),
		waxwingpick.InMillis("versionAge", age))...))
	return caller, refusal
}

// configAge returns the time since the configuration was last known to be the operators' newest one.
func (p *Process) configAge(now time.Time) time.Duration {
	if p.follower == nil {
		return 0
	}
	return p.follower.age(now)
}

// callerInputs returns what is logged of a caller. A key is logged by the start of its digest.
func callerInputs(c workspace.Caller) []waxwingpick.Input {
	key := noKey
	if digest, ok := c.Key.Get(); ok {
		key = digest.ID()
	}
	return []waxwingpick.Input{
		waxwingpick.In("workspace", c.Workspace.ID),
		waxwingpick.In("key", key),
		waxwingpick.In("verdict", c.Verdict.String()),
	}
}

// workspaceID returns the workspace on whose behalf the request is sent; none if no key identified one.
func (x *exchange) workspaceID() waxwingpick.Option[waxwingpick.WorkspaceID] {
	if x.workspace.ID == "" {
		return waxwingpick.None[waxwingpick.WorkspaceID]()
	}
	return waxwingpick.Some(x.workspace.ID)
}

// priority returns the scheduling priority of the request. That of its workspace takes precedence over that of its route.
func (x *exchange) priority() int {
	return x.workspace.Priority.OrElse(x.route.Priority)
}
