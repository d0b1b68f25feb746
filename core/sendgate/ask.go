package sendgate

import (
	"time"

	"waxwingpick"
)

const (
	// grantTTL is how long granted tokens may be used. It exceeds leadTime.
	grantTTL = 400 * time.Millisecond
	// leadTime is the time for whose expected requests a process asks for tokens ahead, and maxTokens bounds them.
	leadTime  = 250 * time.Millisecond
	maxTokens = 16
	// maxAskRate bounds the asks of a process per second, and maxAskBurst those at once.
	maxAskRate  = 50
	maxAskBurst = 10
	// asksPerToken is the number of asks per token that an owner aims at while it refuses, and minAsks the number of asks
	// per second that it accepts in any case. More asks make sure that tokens are used, fewer are fewer messages.
	asksPerToken = 2
	minAsks      = 10
	// minAskWait and maxAskWait bound the wait of a refused process.
	minAskWait = 20 * time.Millisecond
	maxAskWait = 10 * time.Second
	// notOwnerWait is the wait of a process that asked one that is no owner.
	notOwnerWait = 100 * time.Millisecond
	// minFailureWait and maxFailureWait bound the wait after unanswered asks.
	minFailureWait = 50 * time.Millisecond
	maxFailureWait = time.Second
	// askerTTL is how long an owner counts a process that asked. It exceeds maxAskWait.
	askerTTL = 15 * time.Second
	// maxPings bounds the processes that are checked at once.
	maxPings = 16
)

// Ask is a message to the owner of a limit that asks for tokens.
type Ask struct {
	// To is the process that is asked.
	To waxwingpick.InstanceID
	// Report is what the asking process knows of the target.
	Report Report
	// Tokens is the number of requests to send; zero only checks that the process answers.
	Tokens int
}

// Answer is the answer to an Ask.
type Answer struct {
	Target waxwingpick.TargetID
	// Tokens is the number of requests that may be sent.
	Tokens int
	// Wait is the time after which to ask again if there are no tokens.
	Wait time.Duration
	// Owner is set if the asked process is no owner, to the process that it takes for one.
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
	// AdmissionAsk means that the owner of the target's limit is to be asked for a token.
	AdmissionAsk
)

// askable reports whether this process may ask the owner for tokens now.
func (g *Gate) askable(now time.Time, l *limit) bool {
	g.askBudget.refill(now)
	return l.owner != g.processes.self && !now.Before(l.nextAskAt) && g.askBudget.tokens >= minTokens
}

// Ask returns the ask for the next tokens of a target. It must be followed by Answered or Unanswered.
func (g *Gate) Ask(now time.Time, id waxwingpick.TargetID) (Ask, bool) {
	e, ok := g.targets[id]
	if !ok || !e.limit.applies(now, g.ttl) {
		return Ask{}, false
	}
	g.update(now, id, &e.limit)
	if !g.askable(now, &e.limit) {
		return Ask{}, false
	}
	a := Ask{
		To:     e.limit.owner,
		Report: g.report(now, id, e),
		Tokens: min(maxTokens, 1+int(e.limit.rate(now)*leadTime.Seconds())),
	}
	g.askBudget.tokens--
	g.processes.ask(now, a.To)
	return a, true
}

// Asked answers the ask of another process.
func (g *Gate) Asked(now time.Time, from waxwingpick.InstanceID, a Ask) Answer {
	g.processes.heard(now, from)
	g.Apply(now, a.Report)
	id := a.Report.Target
	answer := Answer{
		Target: id,
	}
	e, ok := g.targets[id]
	if a.Tokens <= 0 {
		return answer
	}
	if !ok || !e.limit.applies(now, g.ttl) {
		// The asking process learns of the withdrawal from reports.
		answer.Wait = notOwnerWait
		return answer
	}
	l := &e.limit
	g.update(now, id, l)
	if l.owner != g.processes.self {
		answer.Owner = l.owners[0]
		answer.Wait = notOwnerWait
		g.ping(answer.Owner)
		return answer
	}
	l.countAsker(now, from)
	answer.Tokens = min(a.Tokens, maxTokens, int(l.owned.tokens+1-minTokens))
	l.owned.tokens -= float64(answer.Tokens)
	if answer.Tokens == 0 {
		answer.Wait = l.askWait(g.jitter)
	}
	return answer
}

// countAsker counts a process that asks.
func (l *limit) countAsker(now time.Time, id waxwingpick.InstanceID) {
	if l.askers == nil {
		l.askers = make(map[waxwingpick.InstanceID]time.Time)
	}
	if _, ok := l.askers[id]; !ok && len(l.askers) >= maxProcesses {
		return
	}
	l.askers[id] = now
	for other, at := range l.askers {
		if now.Sub(at) > askerTTL {
			delete(l.askers, other)
		}
	}
}

// askWait returns the wait of a refused process: at least until the next token, and so that all processes together ask as
// often as the owner aims at.
func (l *limit) askWait(jitter func() float64) time.Duration {
	if l.owned.rate <= 0 {
		return maxAskWait
	}
	seconds := float64(len(l.askers)) / max(minAsks, asksPerToken*l.owned.rate)
	seconds = max(seconds*(0.5+jitter()), (1-l.owned.tokens)/l.owned.rate)
	return max(minAskWait, time.Duration(min(seconds, maxAskWait.Seconds())*float64(time.Second)))
}

// ping schedules a check whether a process answers.
func (g *Gate) ping(id waxwingpick.InstanceID) {
	if id != g.processes.self && g.pings.Len() < maxPings {
		g.pings.Add(id)
	}
}

// Pings returns the asks that check whether other processes answer. Their answers are passed to Answered.
func (g *Gate) Pings(now time.Time) []Ask {
	var asks []Ask
	for _, id := range g.pings.Sorted() {
		known, ok := g.processes.known[id]
		if !ok || !known.suspectedAt.IsZero() {
			g.pings.Remove(id)
			continue
		}
		g.processes.ask(now, id)
		asks = append(asks, Ask{
			To: id,
		})
	}
	return asks
}

// Answered applies an answer, also one that comes late.
func (g *Gate) Answered(now time.Time, from waxwingpick.InstanceID, answer Answer) {
	g.processes.heard(now, from)
	g.pings.Remove(from)
	e, ok := g.targets[answer.Target]
	if !ok {
		return
	}
	l := &e.limit
	l.failures = 0
	if answer.Tokens > 0 {
		g.update(now, answer.Target, l)
		l.granted = min(maxTokens, l.granted+answer.Tokens)
		l.grantedUntil = now.Add(grantTTL)
		return
	}
	if answer.Owner != "" {
		// The list of this process may not have the owner yet.
		g.processes.heard(now, answer.Owner)
	}
	if wait := min(max(0, answer.Wait), maxAskWait); wait > 0 {
		l.nextAskAt = now.Add(wait)
	}
}

// Unanswered records that an ask got no answer in time.
func (g *Gate) Unanswered(now time.Time, a Ask) {
	e, ok := g.targets[a.Report.Target]
	if !ok {
		return
	}
	l := &e.limit
	l.failures++
	l.nextAskAt = now.Add(min(maxFailureWait, minFailureWait<<min(l.failures, 8)))
}
