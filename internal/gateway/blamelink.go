package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"waxwingpick"
	"waxwingpick/core/suspect"
)

const (
	// blameKind is the first byte of a message about crashes and what they are attributed to.
	blameKind = 0x05
	// blameSends is the number of messages in which each report is repeated, since messages may be lost, and
	// blameInterval the time between them.
	blameSends    = 10
	blameInterval = 40 * time.Millisecond
	// convictionsInterval is the time between two messages with all convictions, each to convictionsFanOut gateways. They
	// reach gateways that have just started or were cut off.
	convictionsInterval = time.Second
	convictionsFanOut   = 3
	// maxStrikesPerMessage, maxNoticesPerMessage and maxConvictionsPerMessage bound a message.
	maxStrikesPerMessage     = 512
	maxNoticesPerMessage     = 64
	maxConvictionsPerMessage = 64
	// maxPendingStrikes and maxPendingNotices bound the reports that wait to be sent.
	maxPendingStrikes = 4096
	maxPendingNotices = 1024
	// maxBlameAge bounds the ages that a message may state.
	maxBlameAge = 48 * time.Hour
)

// blameMessage is what gateways send to each other about crashes.
type blameMessage struct {
	_         struct{} `cbor:",toarray"`
	From      waxwingpick.InstanceID
	Strikes   []strikeReport
	Cleared   []candidateNotice
	Trials    []candidateNotice
	Convicted []convictionReport
}

// strikeReport is the encoding of a strike.
type strikeReport struct {
	_             struct{} `cbor:",toarray"`
	Crash         string
	Number        int
	Kind          uint8
	Sum           uint64
	Depth         uint8
	Completes     bool
	SentAgeMillis int64
	LostAgeMillis int64
}

// candidateNotice is the encoding of a completion or a trial.
type candidateNotice struct {
	_         struct{} `cbor:",toarray"`
	Kind      uint8
	Sum       uint64
	AgeMillis int64
}

// convictionReport is the encoding of a conviction.
type convictionReport struct {
	_                  struct{} `cbor:",toarray"`
	Kind               uint8
	Sum                uint64
	LastCrashAgeMillis int64
	FailedTrials       int
}

// notice is a completion or a trial of a candidate.
type notice struct {
	candidate suspect.Candidate
	at        time.Time
}

// pending is a report that still has to be sent.
type pending[T any] struct {
	report    T
	sendsLeft int
}

// blameOutbox holds the reports for the next messages to other gateways.
type blameOutbox struct {
	mu      sync.Mutex
	strikes []pending[suspect.CandidateStrike]
	cleared []pending[notice]
	trials  []pending[notice]
}

// addStrikes adds the strikes of one crash.
func (o *blameOutbox) addStrikes(strikes []suspect.CandidateStrike) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range strikes {
		o.strikes = push(o.strikes, s, maxPendingStrikes)
	}
}

func (o *blameOutbox) addCleared(at time.Time, c suspect.Candidate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cleared = push(o.cleared, notice{
		candidate: c,
		at:        at,
	}, maxPendingNotices)
}

func (o *blameOutbox) addTrial(at time.Time, c suspect.Candidate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trials = push(o.trials, notice{
		candidate: c,
		at:        at,
	}, maxPendingNotices)
}

// push adds a report, and drops the oldest one if there are too many.
func push[T any](all []pending[T], report T, most int) []pending[T] {
	if len(all) >= most {
		all = all[1:]
	}
	return append(all, pending[T]{
		report:    report,
		sendsLeft: blameSends,
	})
}

// empty reports whether nothing is to be sent.
func (o *blameOutbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.strikes)+len(o.cleared)+len(o.trials) == 0
}

// take returns the next message and counts its reports as sent.
func (o *blameOutbox) take(now time.Time, from waxwingpick.InstanceID) blameMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := blameMessage{
		From: from,
	}
	o.strikes = takeNext(o.strikes, maxStrikesPerMessage, func(s suspect.CandidateStrike) {
		m.Strikes = append(m.Strikes, strikeReport{
			Crash:         s.Strike.CrashID,
			Number:        s.Strike.Number,
			Kind:          uint8(s.Candidate.Kind()),
			Sum:           s.Candidate.Sum(),
			Depth:         s.Strike.Depth,
			Completes:     s.Strike.Completes,
			SentAgeMillis: now.Sub(s.Strike.SentAt).Milliseconds(),
			LostAgeMillis: now.Sub(s.Strike.LostAt).Milliseconds(),
		})
	})
	o.cleared = takeNext(o.cleared, maxNoticesPerMessage, func(n notice) {
		m.Cleared = append(m.Cleared, n.encode(now))
	})
	o.trials = takeNext(o.trials, maxNoticesPerMessage, func(n notice) {
		m.Trials = append(m.Trials, n.encode(now))
	})
	return m
}

// takeNext encodes the first reports, at most so many, and moves those that are to be sent again behind the others.
func takeNext[T any](all []pending[T], most int, encode func(report T)) []pending[T] {
	most = min(most, len(all))
	remaining := slices.Clone(all[most:])
	for _, p := range all[:most] {
		encode(p.report)
		if p.sendsLeft--; p.sendsLeft > 0 {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

func (n notice) encode(now time.Time) candidateNotice {
	return candidateNotice{
		Kind:      uint8(n.candidate.Kind()),
		Sum:       n.candidate.Sum(),
		AgeMillis: now.Sub(n.at).Milliseconds(),
	}
}

// before returns the time that lies an age before now, with the age limited to its bounds.
func before(now time.Time, ageMillis int64) time.Time {
	return now.Add(-time.Duration(max(0, min(ageMillis, maxBlameAge.Milliseconds()))) * time.Millisecond)
}

// sendBlame sends the pending reports to all gateways.
func (g *gossip) sendBlame(now time.Time) {
	c := g.process.crashTracker
	if c.outbox.empty() {
		return
	}
	g.sendKind(blameKind, c.outbox.take(now, g.process.options.Instance), g.peers.all()...)
}

// sendConvictions sends all convictions to some gateways.
func (g *gossip) sendConvictions(now time.Time) {
	m := blameMessage{
		From: g.process.options.Instance,
	}
	for _, c := range g.process.crashTracker.blame.Convictions(maxConvictionsPerMessage) {
		m.Convicted = append(m.Convicted, convictionReport{
			Kind:               uint8(c.Candidate.Kind()),
			Sum:                c.Candidate.Sum(),
			LastCrashAgeMillis: now.Sub(c.LastCrash).Milliseconds(),
			FailedTrials:       c.FailedTrials,
		})
	}
	if len(m.Convicted) == 0 {
		return
	}
	receivers := g.peers.all()
	rand.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
	g.sendKind(blameKind, m, receivers[:min(len(receivers), convictionsFanOut)]...)
}

// receiveBlame handles a message about crashes.
func (g *gossip) receiveBlame(now time.Time, encoded []byte) {
	err := receiveAs(encoded, func(m blameMessage) {
		if g.foreign(m.From) {
			g.process.crashTracker.apply(now, m)
		}
	})
	if err != nil {
		g.process.log.WithField("error", err.Error()).Debug("message about crashes rejected")
	}
}

// apply records what another gateway reports.
func (c *crashTracker) apply(now time.Time, m blameMessage) {
	for _, n := range m.Cleared[:min(len(m.Cleared), maxNoticesPerMessage)] {
		if candidate, ok := suspect.NewCandidate(suspect.CandidateKind(n.Kind), n.Sum); ok && c.blame.Clear(now, before(now, n.AgeMillis), candidate) {
			c.logCleared(candidate, "response complete at "+string(m.From))
		}
	}
	c.logConvicted(c.blame.Apply(now, decodeStrikes(now, m.From, m.Strikes)), "crash detected by "+string(m.From))
	for _, n := range m.Trials[:min(len(m.Trials), maxNoticesPerMessage)] {
		if candidate, ok := suspect.NewCandidate(suspect.CandidateKind(n.Kind), n.Sum); ok {
			c.blame.TrialStarted(before(now, n.AgeMillis), candidate)
		}
	}
	for _, r := range m.Convicted[:min(len(m.Convicted), maxConvictionsPerMessage)] {
		candidate, ok := suspect.NewCandidate(suspect.CandidateKind(r.Kind), r.Sum)
		if !ok {
			continue
		}
		clearedAt, refuted, changes := c.blame.Merge(now, suspect.Conviction{
			Candidate:    candidate,
			LastCrash:    before(now, r.LastCrashAgeMillis),
			FailedTrials: r.FailedTrials,
		})
		c.logConvicted(changes, "conviction by "+string(m.From))
		if refuted {
			c.outbox.addCleared(clearedAt, candidate)
		}
	}
}

func decodeStrikes(now time.Time, from waxwingpick.InstanceID, reports []strikeReport) []suspect.CandidateStrike {
	var all []suspect.CandidateStrike
	for _, r := range reports[:min(len(reports), maxStrikesPerMessage)] {
		candidate, ok := suspect.NewCandidate(suspect.CandidateKind(r.Kind), r.Sum)
		if !ok {
			continue
		}
		all = append(all, suspect.CandidateStrike{
			Candidate: candidate,
			Strike: suspect.Strike{
				CrashID:   r.Crash,
				Reporter:  string(from),
				Number:    r.Number,
				Depth:     r.Depth,
				Completes: r.Completes,
				SentAt:    before(now, r.SentAgeMillis),
				LostAt:    before(now, r.LostAgeMillis),
			},
		})
	}
	return all
}
