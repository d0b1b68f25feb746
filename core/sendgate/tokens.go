package sendgate

import (
	"time"

	"waxwingpick"
)

const (
	// grantTTL is how long granted tokens may be used. It exceeds leadTime.
	grantTTL = 400 * time.Millisecond
	// leadTime is the time for whose expected requests a process requests tokens ahead, and maxTokens bounds them.
	leadTime  = 250 * time.Millisecond
	maxTokens = 16
	// maxRequestRate bounds the token requests of a process per second, and maxRequestBurst those at once.
	maxRequestRate  = 50
	maxRequestBurst = 10
	// requestsPerToken is the number of token requests per token that an owner aims at while it refuses, and minRequests the
	// number per second that it accepts in any case. More requests make sure that tokens are used, fewer are fewer messages.
	requestsPerToken = 2
	minRequests      = 10
	// minRequestWait and maxRequestWait bound the wait of a refused process.
	minRequestWait = 20 * time.Millisecond
	maxRequestWait = 10 * time.Second
	// notOwnerWait is the wait of a process whose token request went to one that is no owner.
	notOwnerWait = 100 * time.Millisecond
	// minFailureWait and maxFailureWait bound the wait after token requests without a response.
	minFailureWait = 50 * time.Millisecond
	maxFailureWait = time.Second
	// requesterTTL is how long an owner counts a process that requested tokens. It exceeds maxRequestWait.
	requesterTTL = 15 * time.Second
	// maxPings bounds the processes that are checked at once.
	maxPings = 16
)

// TokenRequest requests tokens from the owner of a limit.
type TokenRequest struct {
	// To is the receiver.
	To waxwingpick.InstanceID
	// Report is what the requesting process knows of the target.
	Report Report
	// Tokens is the number of requests to send; zero only checks that the receiver responds.
	Tokens int
}

// TokenResponse is the response to a TokenRequest.
type TokenResponse struct {
	Target waxwingpick.TargetID
	// Tokens is the number of requests that may be sent.
	Tokens int
	// Wait is the time after which to send the next request if there are no tokens.
	Wait time.Duration
	// Owner is set if the receiver of the request is no owner, to the process that it takes for one.
	Owner waxwingpick.InstanceID
}

// Admission is the result of Take.
type Admission uint8

// The results of Take.
const (
	// AdmissionRefused means that the request must not be sent to the target.
	AdmissionRefused Admission = iota
	// AdmissionTaken means that the request may be sent, and counts as sent.
	AdmissionTaken
	// AdmissionRequestTokens means that a token has to be requested from the owner of the target's limit.
	AdmissionRequestTokens
)

// mayRequest reports whether this process may request tokens from the owner now.
func (g *Gate) mayRequest(now time.Time, l *limit) bool {
	g.requestBudget.refill(now)
	return l.owner != g.processes.self && !now.Before(l.nextRequestAt) && g.requestBudget.tokens >= minTokens
}

// RequestTokens returns the request for the next tokens of a target. It must be followed by HandleResponse or
// RequestTimedOut.
func (g *Gate) RequestTokens(now time.Time, id waxwingpick.TargetID) (TokenRequest, bool) {
	e, ok := g.targets[id]
	if !ok || !e.limit.applies(now, g.ttl) {
		return TokenRequest{}, false
	}
	g.update(now, id, &e.limit)
	if !g.mayRequest(now, &e.limit) {
		return TokenRequest{}, false
	}
	r := TokenRequest{
		To:     e.limit.owner,
		Report: g.report(now, id, e),
		Tokens: min(maxTokens, 1+int(e.limit.rate(now)*leadTime.Seconds())),
	}
	g.requestBudget.tokens--
	g.processes.requested(now, r.To)
	return r, true
}

// HandleRequest returns the response to a request of another process.
func (g *Gate) HandleRequest(now time.Time, from waxwingpick.InstanceID, r TokenRequest) TokenResponse {
	g.processes.markResponsive(now, from)
	g.Apply(now, r.Report)
	id := r.Report.Target
	response := TokenResponse{
		Target: id,
	}
	e, ok := g.targets[id]
	if r.Tokens <= 0 {
		return response
	}
	if !ok || !e.limit.applies(now, g.ttl) {
		// The requesting process receives the withdrawal in reports.
		response.Wait = notOwnerWait
		return response
	}
	l := &e.limit
	g.update(now, id, l)
	if l.owner != g.processes.self {
		response.Owner = l.owners[0]
		response.Wait = notOwnerWait
		g.ping(response.Owner)
		return response
	}
	l.countRequester(now, from)
	response.Tokens = min(r.Tokens, maxTokens, int(l.owned.tokens+1-minTokens))
	l.owned.tokens -= float64(response.Tokens)
	if response.Tokens == 0 {
		response.Wait = l.requestWait(g.jitter)
	}
	return response
}

// countRequester counts a process that requests tokens.
func (l *limit) countRequester(now time.Time, id waxwingpick.InstanceID) {
	if l.requesters == nil {
		l.requesters = make(map[waxwingpick.InstanceID]time.Time)
	}
	if _, ok := l.requesters[id]; !ok && len(l.requesters) >= maxProcesses {
		return
	}
	l.requesters[id] = now
	for other, at := range l.requesters {
		if now.Sub(at) > requesterTTL {
			delete(l.requesters, other)
		}
	}
}

// requestWait returns the wait of a refused process: at least until the next token, and so that all processes together send as
// many requests as the owner aims at.
func (l *limit) requestWait(jitter func() float64) time.Duration {
	if l.owned.rate <= 0 {
		return maxRequestWait
	}
	seconds := float64(len(l.requesters)) / max(minRequests, requestsPerToken*l.owned.rate)
	seconds = max(seconds*(0.5+jitter()), (1-l.owned.tokens)/l.owned.rate)
	return max(minRequestWait, time.Duration(min(seconds, maxRequestWait.Seconds())*float64(time.Second)))
}

// ping schedules a check whether a process responds.
func (g *Gate) ping(id waxwingpick.InstanceID) {
	if id != g.processes.self && g.pings.Len() < maxPings {
		g.pings.Add(id)
	}
}

// Pings returns the requests that check whether other processes respond. Their responses are passed to HandleResponse.
func (g *Gate) Pings(now time.Time) []TokenRequest {
	var pings []TokenRequest
	for _, id := range g.pings.Sorted() {
		known, ok := g.processes.known[id]
		if !ok || !known.suspectedAt.IsZero() {
			g.pings.Remove(id)
			continue
		}
		g.processes.requested(now, id)
		pings = append(pings, TokenRequest{
			To: id,
		})
	}
	return pings
}

// HandleResponse applies a response, also one that arrives late.
func (g *Gate) HandleResponse(now time.Time, from waxwingpick.InstanceID, response TokenResponse) {
	g.processes.markResponsive(now, from)
	g.pings.Remove(from)
	e, ok := g.targets[response.Target]
	if !ok {
		return
	}
	l := &e.limit
	l.failures = 0
	if response.Tokens > 0 {
		g.update(now, response.Target, l)
		l.granted = min(maxTokens, l.granted+response.Tokens)
		l.grantedUntil = now.Add(grantTTL)
		return
	}
	if response.Owner != "" {
		// The list of this process may not have the owner yet.
		g.processes.markResponsive(now, response.Owner)
	}
	if wait := min(max(0, response.Wait), maxRequestWait); wait > 0 {
		l.nextRequestAt = now.Add(wait)
	}
}

// RequestTimedOut records that a request got no response in time.
func (g *Gate) RequestTimedOut(now time.Time, r TokenRequest) {
	e, ok := g.targets[r.Report.Target]
	if !ok {
		return
	}
	l := &e.limit
	l.failures++
	l.nextRequestAt = now.Add(min(maxFailureWait, minFailureWait<<min(l.failures, 8)))
}
