package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/targetlimit"
)

const (
	// limitsInterval is the time between two checks for limits to log and to send to other gateways.
	limitsInterval = 100 * time.Millisecond
	// limitsFanOut is the number of gateways that receive each message in a larger fleet. They forward it.
	limitsFanOut = 3
	// limitsKind is the first byte of a message with limits. A summary is a CBOR array instead.
	limitsKind = 0x02
	// minLimitRetryAfter and maxLimitRetryAfter bound the Retry-After of a request that limits don't admit.
	minLimitRetryAfter = 100 * time.Millisecond
	maxLimitRetryAfter = 2 * time.Second
)

// limits holds the request limits that targets state. Its methods are safe for concurrent use.
type limits struct {
	process *Process
	// publish sends limits to other gateways; nil if there are none.
	publish func(reports []targetlimit.Report)

	mu   sync.Mutex
	core *targetlimit.Limits
}

func newLimits(p *Process) *limits {
	jitter := time.Duration(newRandom().Int64N(int64(targetlimit.TTLJitter)))
	return &limits{
		process: p,
		core:    targetlimit.New(p.options.Instance, jitter),
	}
}

// observe applies what a target states in the response to a request that was sent at sentAt.
func (l *limits) observe(now, sentAt time.Time, t waxwingpick.Target, s waxwingpick.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit, ok := s.RequestLimit.Get(); ok {
		l.core.Stated(now, t, limit)
		return
	}
	if s.Malformed == "" {
		l.core.NotStated(now, sentAt, t)
	}
}

func (l *limits) exhausted(now time.Time) waxwingpick.Set[waxwingpick.TargetID] {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Exhausted(now)
}

// take counts a request to a target; false means that it must not be sent.
func (l *limits) take(now time.Time, id waxwingpick.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Take(now, id)
}

// retryAfter returns when a request that no limit admits is useful again. Callers return to any gateway, each at another
// time.
func (l *limits) retryAfter(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	after := maxLimitRetryAfter
	for _, id := range l.core.Exhausted(now).Sorted() {
		if wait, ok := l.core.Wait(now, id).Get(); ok {
			after = min(after, wait)
		}
	}
	after = max(minLimitRetryAfter, after)
	return after + time.Duration(rand.Int64N(int64(after)))
}

func (l *limits) setProcesses(now time.Time, listed []waxwingpick.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetProcesses(now, listed)
}

func (l *limits) processSeen(now time.Time, id waxwingpick.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ProcessSeen(now, id)
}

// sync logs the limits that changed and sends those that are due to other gateways.
func (l *limits) sync(now time.Time) {
	l.mu.Lock()
	changes := l.core.Changes(now)
	limited := l.core.Limited(now)
	var reports []targetlimit.Report
	if l.publish != nil {
		reports = l.core.Reports(now)
	}
	l.mu.Unlock()
	l.process.options.Metrics.LimitedTargets(limited)
	for _, c := range changes {
		l.log(c)
	}
	if len(reports) > 0 {
		l.publish(reports)
	}
}

func (l *limits) log(c targetlimit.Change) {
	log := l.process.log.WithFields(logrus.Fields{
		"target":    c.Target,
		"ageMillis": c.Age.Milliseconds(),
	})
	limit, ok := c.Limit.Get()
	if !ok {
		log.Info("target no longer states a request limit")
		return
	}
	log.WithFields(logrus.Fields{
		"requestsPerSecond": limit,
		"share":             c.Share,
		"sharers":           c.Sharers,
	}).Warn("target states a request limit")
}

// limitsMessage is what gateways send to each other about stated limits.
type limitsMessage struct {
	_      struct{} `cbor:",toarray"`
	From   waxwingpick.InstanceID
	Limits []limitReport
}

// limitReport is the encoding of a limit in a message. PerSecond is nil if the target has withdrawn it.
type limitReport struct {
	_         struct{} `cbor:",toarray"`
	Target    waxwingpick.TargetID
	Start     int64
	PerSecond *float64
	AgeMillis int64
}

// sendLimits sends limits to all gateways of a small fleet, or to some gateways of a larger one.
func (g *gossip) sendLimits(reports []targetlimit.Report) {
	m := limitsMessage{
		From: g.process.options.Instance,
	}
	for _, r := range reports {
		encoded := limitReport{
			Target:    r.Target,
			Start:     r.StartUnixMillis,
			AgeMillis: r.Age.Milliseconds(),
		}
		if limit, ok := r.Limit.Get(); ok {
			encoded.PerSecond = &limit
		}
		m.Limits = append(m.Limits, encoded)
	}
	encoded, err := cbor.Marshal(m)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("encoding the limits failed")
		return
	}
	receivers := g.peers.all()
	if !g.peers.small() {
		rand.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
		receivers = receivers[:limitsFanOut]
	}
	g.sendAll(receivers, append([]byte{limitsKind}, encoded...))
}

// receiveLimits applies the limits of another gateway.
func (g *gossip) receiveLimits(now time.Time, encoded []byte) {
	var m limitsMessage
	if err := cbor.Unmarshal(encoded[1:], &m); err != nil {
		g.process.log.WithField("error", err.Error()).Debug("limits rejected")
		return
	}
	if m.From == "" || m.From == g.process.options.Instance {
		return
	}
	l := g.process.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ProcessSeen(now, m.From)
	for _, r := range m.Limits[:min(len(m.Limits), targetlimit.MaxReports)] {
		report := targetlimit.Report{
			Target:          r.Target,
			StartUnixMillis: r.Start,
			Age:             time.Duration(max(0, min(r.AgeMillis, maxReportAge.Milliseconds()))) * time.Millisecond,
		}
		if r.PerSecond != nil {
			if !(*r.PerSecond >= 0) || math.IsInf(*r.PerSecond, 0) {
				continue
			}
			report.Limit = waxwingpick.Some(*r.PerSecond)
		}
		l.core.Apply(now, report)
	}
}

// maxReportAge bounds the age that a received report may state.
const maxReportAge = time.Hour
