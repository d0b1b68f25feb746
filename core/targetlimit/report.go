package targetlimit

import (
	"time"

	"waxwingpick"
)

const (
	// changeInterval is the minimum time between two reports of changed limits, and between two changes of one target
	// that Changes returns.
	changeInterval = 200 * time.Millisecond
	logInterval    = time.Second
	// refreshInterval is the time between two reports without changes. Messages may be lost.
	refreshInterval = time.Second
	// MaxReports bounds the reports of one message.
	MaxReports = 64
)

// Report is a limit that a process sends to others.
type Report struct {
	Target          waxwingpick.TargetID
	StartUnixMillis int64
	// Limit is the stated limit in requests per second; none if the target has withdrawn it.
	Limit waxwingpick.Option[float64]
	// Age is the time since the target stated it.
	Age time.Duration
}

// Reports returns the limits to send to other processes now; nil if none are due. Over several calls it returns all.
func (l *Limits) Reports(now time.Time) []Report {
	interval := refreshInterval
	if l.changed {
		interval = changeInterval
	}
	if now.Sub(l.reportedAt) < interval {
		return nil
	}
	l.expire(now)
	l.reportedAt = now
	l.changed = false
	ids := l.ids()
	var reports []Report
	for i := range min(len(ids), MaxReports) {
		id := ids[(l.nextReport+i)%len(ids)]
		e := l.targets[id]
		reports = append(reports, Report{
			Target:          id,
			StartUnixMillis: e.startUnixMillis,
			Limit:           e.value,
			Age:             now.Sub(e.statedAt),
		})
	}
	if len(ids) > MaxReports {
		l.nextReport = (l.nextReport + MaxReports) % len(ids)
		l.changed = true
	}
	return reports
}

// Apply applies the report of another process. Reports older than the lifetime of limits are ignored.
func (l *Limits) Apply(now time.Time, r Report) {
	if r.Age < 0 || r.Age > l.ttl {
		return
	}
	l.update(now, r.Target, r.StartUnixMillis, r.Limit, now.Add(-r.Age))
}

// Change is a change of a limit, for the log.
type Change struct {
	Target waxwingpick.TargetID
	// Limit is the limit in force in requests per second; none if it was withdrawn or expired.
	Limit waxwingpick.Option[float64]
	// Share is this process's part of it, and Sharers the number of processes that share it.
	Share   float64
	Sharers int
	// Age is the time since the target stated it.
	Age time.Duration
}

// Changes returns the limits that changed since the last call, each target at most once per logInterval.
func (l *Limits) Changes(now time.Time) []Change {
	l.expire(now)
	changes := l.ended
	l.ended = nil
	for _, id := range l.ids() {
		e := l.targets[id]
		if e.value == e.reported || now.Sub(e.changedAt) < logInterval {
			continue
		}
		l.refill(now, id, e)
		c := Change{
			Target: id,
			Limit:  e.value,
			Age:    now.Sub(e.statedAt),
		}
		if _, limited := e.value.Get(); limited {
			c.Share, c.Sharers = e.rate, e.sharers
		}
		changes = append(changes, c)
		e.reported, e.changedAt = e.value, now
	}
	return changes
}
