package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

const (
	// statementsInterval is the time between two checks for statements to log and to send to other gateways.
	statementsInterval = 100 * time.Millisecond
	// statementsFanOut is the number of gateways that receive each message in a larger fleet. They forward it.
	statementsFanOut = 3
	// statementsKind is the first byte of a message with statements. A summary is a CBOR array instead.
	statementsKind = 0x02
	// minBlockedRetryAfter and maxBlockedRetryAfter bound the Retry-After of a request that no target accepts because of
	// what the targets state.
	minBlockedRetryAfter = 100 * time.Millisecond
	maxBlockedRetryAfter = 2 * time.Second
	// maxReportAge bounds the age that a received report may state.
	maxReportAge = time.Hour
)

// statements is the gate for all sends to targets, with what the targets state about themselves. Its methods are safe for
// concurrent use.
type statements struct {
	process *Process
	// publish sends statements to other gateways; nil if there are none.
	publish func(reports []sendgate.Report)

	mu   sync.Mutex
	gate *sendgate.Gate
}

func newStatements(p *Process) *statements {
	jitter := time.Duration(newRandom().Int64N(int64(sendgate.TTLJitter)))
	return &statements{
		process: p,
		gate:    sendgate.New(p.options.Instance, jitter),
	}
}

// observe applies what a target states in the response to a request that was sent at sentAt. ran means that the target
// processed the request.
func (s *statements) observe(now, sentAt time.Time, t waxwingpick.Target, stated waxwingpick.Statement, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Observe(now, sentAt, t, stated, ran)
}

// blocked returns the targets to which no request may be sent now.
func (s *statements) blocked(now time.Time) waxwingpick.Set[waxwingpick.TargetID] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Blocked(now)
}

// take counts a request to a target; false means that it must not be sent.
func (s *statements) take(now time.Time, id waxwingpick.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Take(now, id)
}

// blockedBy counts the targets that accept no request now, by the kind of statement.
func (s *statements) blockedBy(now time.Time, targets []waxwingpick.TargetID) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int)
	for _, id := range targets {
		if kind, ok := s.gate.BlockedBy(now, id).Get(); ok {
			counts[kind.String()]++
		}
	}
	return counts
}

// retryAfter returns when a request that none of the targets accepts is useful again: when the first of them accepts one
// from this gateway, as far as known. Callers return to any gateway, each at another time.
func (s *statements) retryAfter(now time.Time, targets []waxwingpick.TargetID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, known := noTargetRetry, false
	for _, id := range targets {
		if wait, ok := s.gate.Wait(now, id).Get(); ok && (!known || wait < after) {
			after, known = wait, true
		}
	}
	after = min(maxBlockedRetryAfter, max(minBlockedRetryAfter, after))
	return after + time.Duration(rand.Int64N(int64(after)))
}

func (s *statements) setTargets(now time.Time, listed []waxwingpick.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetTargets(now, listed)
}

func (s *statements) setProcesses(now time.Time, listed []waxwingpick.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetProcesses(now, listed)
}

func (s *statements) processSeen(now time.Time, id waxwingpick.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ProcessSeen(now, id)
}

// sync logs what changed and sends the statements that are due to other gateways.
func (s *statements) sync(now time.Time) {
	s.mu.Lock()
	changes := s.gate.Changes(now)
	counts := s.gate.Counts(now)
	var reports []sendgate.Report
	if s.publish != nil {
		reports = s.gate.Reports(now)
	}
	s.mu.Unlock()
	m := s.process.options.Metrics
	m.Stated(sendgate.KindLimit.String(), counts.Limited)
	m.Stated(sendgate.KindLeave.String(), counts.Leaving)
	m.Stated(sendgate.KindDelay.String(), counts.Delayed)
	for _, c := range changes {
		s.log(c)
	}
	if len(reports) > 0 {
		s.publish(reports)
	}
}

func (s *statements) log(c sendgate.Change) {
	log := s.process.log.WithField("target", c.Target)
	switch c.Kind {
	case sendgate.KindLimit:
		log = log.WithField("ageMillis", c.Age.Milliseconds())
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
	case sendgate.KindLeave:
		log.WithField("ageMillis", c.Age.Milliseconds()).Info("target states that it leaves")
	case sendgate.KindDelay:
		log.WithField("delayMillis", c.Delay.Milliseconds()).Info("target wants no requests for some time")
	}
}

// statementsMessage is what gateways send to each other about the statements of targets.
type statementsMessage struct {
	_       struct{} `cbor:",toarray"`
	From    waxwingpick.InstanceID
	Reports []statementReport
}

// statementReport is the encoding of a report.
type statementReport struct {
	_      struct{} `cbor:",toarray"`
	Target waxwingpick.TargetID
	Start  int64
	// Limit is nil if the target has withdrawn its limit, and LimitAgeMillis nil if it never stated one.
	Limit          *float64
	LimitAgeMillis *int64
	// LeaveAgeMillis is nil if the target does not leave.
	LeaveAgeMillis *int64
}

func encodeReport(r sendgate.Report) statementReport {
	encoded := statementReport{
		Target:         r.Target,
		Start:          r.StartUnixMillis,
		LimitAgeMillis: encodeAge(r.LimitAge),
		LeaveAgeMillis: encodeAge(r.LeaveAge),
	}
	if limit, ok := r.Limit.Get(); ok {
		encoded.Limit = &limit
	}
	return encoded
}

func encodeAge(age waxwingpick.Option[time.Duration]) *int64 {
	d, ok := age.Get()
	if !ok {
		return nil
	}
	millis := d.Milliseconds()
	return &millis
}

// decode returns the report, or false if its limit is out of range.
func (r statementReport) decode() (sendgate.Report, bool) {
	report := sendgate.Report{
		Target:          r.Target,
		StartUnixMillis: r.Start,
		LimitAge:        decodeAge(r.LimitAgeMillis),
		LeaveAge:        decodeAge(r.LeaveAgeMillis),
	}
	if r.Limit != nil {
		if !(*r.Limit >= 0) || math.IsInf(*r.Limit, 0) {
			return report, false
		}
		report.Limit = waxwingpick.Some(*r.Limit)
	}
	return report, true
}

func decodeAge(millis *int64) waxwingpick.Option[time.Duration] {
	if millis == nil {
		return waxwingpick.None[time.Duration]()
	}
	return waxwingpick.Some(time.Duration(max(0, min(*millis, maxReportAge.Milliseconds()))) * time.Millisecond)
}

// sendStatements sends statements to all gateways of a small fleet, or to some gateways of a larger one.
func (g *gossip) sendStatements(reports []sendgate.Report) {
	m := statementsMessage{
		From: g.process.options.Instance,
	}
	for _, r := range reports {
		m.Reports = append(m.Reports, encodeReport(r))
	}
	encoded, err := cbor.Marshal(m)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("encoding the statements failed")
		return
	}
	receivers := g.peers.all()
	if len(receivers) >= smallFleet {
		rand.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
		receivers = receivers[:statementsFanOut]
	}
	g.sendAll(receivers, append([]byte{statementsKind}, encoded...))
}

// receiveStatements applies the statements that another gateway sends.
func (g *gossip) receiveStatements(now time.Time, encoded []byte) {
	var m statementsMessage
	if err := cbor.Unmarshal(encoded[1:], &m); err != nil {
		g.process.log.WithField("error", err.Error()).Debug("statements rejected")
		return
	}
	if m.From == "" || m.From == g.process.options.Instance {
		return
	}
	s := g.process.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ProcessSeen(now, m.From)
	for _, r := range m.Reports[:min(len(m.Reports), sendgate.MaxReports)] {
		if report, ok := r.decode(); ok {
			s.gate.Apply(now, report)
		}
	}
}
