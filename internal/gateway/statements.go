package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/sendgate"
	"waxwingpick/core/timer"
)

const (
	// statementsInterval is the time between two checks for statements to log and to send to other gateways.
	statementsInterval = 100 * time.Millisecond
	// statementsFanOut is the number of gateways that receive each message in a larger fleet. They forward it.
	statementsFanOut = 3
	// tokenTimeout bounds the wait of a request for the response of another gateway.
	tokenTimeout = 50 * time.Millisecond
	// responseTTL is how long the response to a token request is accepted.
	responseTTL = 2 * time.Second
	// minBlockedRetryAfter and maxBlockedRetryAfter bound the Retry-After of a request that no target accepts because of
	// what the targets state.
	minBlockedRetryAfter = 100 * time.Millisecond
	maxBlockedRetryAfter = 2 * time.Second
)

// statements is the gate for all sends to targets, with what the targets state about themselves. Its methods are safe for
// concurrent use.
type statements struct {
	process *Process
	// peers sends to other gateways; nil if there are none.
	peers statementPeers

	mu   sync.Mutex
	gate *sendgate.Gate
	// requests holds the token requests without a response by their number, and lastRequest is the number of the last one.
	requests    map[uint64]pendingTokenRequest
	lastRequest uint64
}

// pendingTokenRequest is a token request without a response.
type pendingTokenRequest struct {
	sentAt time.Time
	// done ends the wait for the response.
	done func()
}

// statementPeers sends messages about statements to other gateways. Messages may be lost.
type statementPeers interface {
	sendReports(reports []sendgate.Report)
	// sendTokenRequest returns false if the other gateway is not listed, so that nothing is sent.
	sendTokenRequest(number uint64, a sendgate.TokenRequest) bool
}

func newStatements(p *Process) *statements {
	return &statements{
		process:  p,
		gate:     sendgate.New(p.options.Instance, newRandom().Float64),
		requests: make(map[uint64]pendingTokenRequest),
		// Responses to the requests of a former incarnation do not match.
		lastRequest: rand.Uint64(),
	}
}

// observe applies what a target states in the response to a request that was sent at sentAt. ran means that the target
// processed the request.
func (s *statements) observe(now, sentAt time.Time, t waxwingpick.Target, stated waxwingpick.Statement, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Observe(now, sentAt, t, stated, ran)
}

// blocked returns the targets to which no request may be sent now. If mayRequest is set, it leaves out those for which a token
// may be requested.
func (s *statements) blocked(now time.Time, mayRequest bool) waxwingpick.Set[waxwingpick.TargetID] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Blocked(now, mayRequest)
}

// take decides whether a request may be sent to a target, and counts it as sent if it may.
func (s *statements) take(now time.Time, id waxwingpick.TargetID) sendgate.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Take(now, id)
}

// requestToken requests tokens from the owner of a target's limit and waits for the response.
func (s *statements) requestToken(ctx context.Context, id waxwingpick.TargetID) {
	timers := s.process.timers
	waiting, done := context.WithCancel(ctx)
	defer done()
	s.mu.Lock()
	a, ok := s.gate.RequestTokens(timers.Now(), id)
	if !ok || s.peers == nil {
		s.mu.Unlock()
		return
	}
	number := s.track(timers.Now(), done)
	s.mu.Unlock()
	if s.peers.sendTokenRequest(number, a) {
		timer.Sleep(waiting, timers, tokenTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, unanswered := s.requests[number]; unanswered {
		s.gate.RequestTimedOut(timers.Now(), a)
	}
}

// track returns the number of a new token request.
func (s *statements) track(now time.Time, done func()) uint64 {
	s.lastRequest++
	s.requests[s.lastRequest] = pendingTokenRequest{
		sentAt: now,
		done:   done,
	}
	return s.lastRequest
}

// tokenResponse applies the response to a token request, also a late one. A duplicate has no effect, since its
// tokens were granted once.
func (s *statements) tokenResponse(now time.Time, from waxwingpick.InstanceID, number uint64, r sendgate.TokenResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending, ok := s.requests[number]
	if !ok {
		return
	}
	delete(s.requests, number)
	s.gate.HandleResponse(now, from, r)
	pending.done()
}

// tokenRequest returns the response to the token request of another gateway.
func (s *statements) tokenRequest(now time.Time, from waxwingpick.InstanceID, r sendgate.TokenRequest) sendgate.TokenResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.HandleRequest(now, from, r)
}

// apply applies the reports of another gateway.
func (s *statements) apply(now time.Time, from waxwingpick.InstanceID, reports []sendgate.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.MarkResponsive(now, from)
	for _, r := range reports {
		s.gate.Apply(now, r)
	}
}

// leaves reports whether a target has stated that it leaves.
func (s *statements) leaves(id waxwingpick.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, ok := s.gate.BlockedBy(s.process.timers.Now(), id).Get()
	return ok && kind == sendgate.KindLeave
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
	maps.DeleteFunc(s.requests, func(_ uint64, a pendingTokenRequest) bool { return now.Sub(a.sentAt) > responseTTL })
	var reports []sendgate.Report
	pings := make(map[uint64]sendgate.TokenRequest)
	if s.peers != nil {
		reports = s.gate.Reports(now)
		for _, a := range s.gate.Pings(now) {
			pings[s.track(now, func() {})] = a
		}
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
		s.peers.sendReports(reports)
	}
	for number, a := range pings {
		s.peers.sendTokenRequest(number, a)
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
			"owner":             c.Owner,
			"owners":            c.Owners,
		}).Warn("target states a request limit")
	case sendgate.KindLeave:
		log.WithField("ageMillis", c.Age.Milliseconds()).Info("target states that it leaves")
	case sendgate.KindDelay:
		log.WithField("delayMillis", c.Delay.Milliseconds()).Info("target wants no requests for some time")
	}
}
