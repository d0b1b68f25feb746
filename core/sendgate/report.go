package sendgate

import (
	"time"

	"waxwingpick"
)

const (
	// changeInterval is the minimum time between two messages with changed statements.
	changeInterval = 200 * time.Millisecond
	// refreshInterval is the time between two messages without changes. Messages may be lost.
	refreshInterval = time.Second
	// leaveReportTTL is how long leaves are sent to other processes. The platform's list names them, too, within that time.
	leaveReportTTL = 10 * time.Second
	// MaxReports bounds the reports of one message.
	MaxReports = 64
)

// Report is what a process sends to others about a target. Delays are not reported, as they apply to one process.
type Report struct {
	Target          waxwingpick.TargetID
	StartUnixMillis int64
	// Limit is the limit in requests per second; none if the target has withdrawn it.
	Limit waxwingpick.Option[float64]
	// LimitAge is the time since the target stated or withdrew the limit; none if it never stated one.
	LimitAge waxwingpick.Option[time.Duration]
	// LeaveAge is the time since the target stated that it leaves; none if it did not.
	LeaveAge waxwingpick.Option[time.Duration]
}

// Reports returns the statements to send to other processes now; nil if none are due. Changed ones come first, and over
// several calls it returns all.
func (g *Gate) Reports(now time.Time) []Report {
	interval := refreshInterval
	if g.changed {
		interval = changeInterval
	}
	if now.Sub(g.reportedAt) < interval {
		return nil
	}
	g.expire(now)
	g.reportedAt = now
	g.changed = false
	ids := g.ids()
	var reports []Report
	var included waxwingpick.Set[waxwingpick.TargetID]
	for _, id := range ids {
		e := g.targets[id]
		switch {
		case !e.unreported:
		case len(reports) < MaxReports:
			e.unreported = false
			included.Add(id)
			reports = append(reports, g.report(now, id, e))
		default:
			g.changed = true
		}
	}
	for i := range ids {
		index := (g.nextReport + i) % len(ids)
		if len(reports) == MaxReports {
			g.nextReport = index
			break
		}
		id := ids[index]
		if r := g.report(now, id, g.targets[id]); r.useful() && !included.Has(id) {
			reports = append(reports, r)
		}
	}
	return reports
}

// useful reports whether other processes need the report.
func (r Report) useful() bool {
	_, limit := r.LimitAge.Get()
	leave, leaves := r.LeaveAge.Get()
	return limit || leaves && leave <= leaveReportTTL
}

func (g *Gate) report(now time.Time, id waxwingpick.TargetID, e *target) Report {
	r := Report{
		Target:          id,
		StartUnixMillis: e.startUnixMillis,
	}
	if !e.limit.statedAt.IsZero() && !e.limit.expired(now, g.ttl) {
		r.Limit = e.limit.value
		r.LimitAge = waxwingpick.Some(now.Sub(e.limit.statedAt))
	}
	if e.leaving(now) {
		r.LeaveAge = waxwingpick.Some(now.Sub(e.leavingAt))
	}
	return r
}

// Apply applies the report of another process. Statements beyond their lifetime are ignored.
func (g *Gate) Apply(now time.Time, r Report) {
	limitAge, hasLimit := r.LimitAge.Get()
	hasLimit = hasLimit && limitAge >= 0 && limitAge <= g.ttl
	leaveAge, leaves := r.LeaveAge.Get()
	leaves = leaves && leaveAge >= 0 && leaveAge <= leaveTTL
	_, limited := r.Limit.Get()
	if _, known := g.targets[r.Target]; !known && !leaves && !(hasLimit && limited) {
		return
	}
	e := g.track(now, r.Target, r.StartUnixMillis)
	if e == nil {
		return
	}
	if statedAt := now.Add(-limitAge); hasLimit && (!e.limit.loosenedBy(r.Limit) || statedAt.Sub(e.limit.statedAt) > maxMessageDelay) {
		g.setLimit(now, e, r.Limit, statedAt)
	}
	if leaves && e.leavingAt.IsZero() {
		g.setLeaving(e, now.Add(-leaveAge))
	}
}
