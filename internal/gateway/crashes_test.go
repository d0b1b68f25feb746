package gateway

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/core/timer"
	"waxwingpick/io/udp"
)

// probeCounter counts the probes of targets, each of which returns err.
type probeCounter struct {
	waxwingpick.Dispatcher
	probes atomic.Int64
	err    error
}

// Reach counts a probe.
func (r *probeCounter) CheckReachable(context.Context, waxwingpick.Target) error {
	r.probes.Add(1)
	return r.err
}

// crashesOf returns the crash tracker of a process that has not started, with its clock.
func crashesOf(t *testing.T, targets *probeCounter) (*crashTracker, *timer.Manual) {
	t.Helper()
	p, clock := newProcess(t, targets)
	return p.crashTracker, clock
}

// flight returns a request in flight that has just been sent.
func flight(now time.Time, candidates ...suspect.Candidate) suspect.Flight {
	return suspect.Flight{
		Candidates: candidates,
		SentAt:     now,
	}
}

// TestLostResponsesOfAHealthyTargetCostFewConnections loses a response of a reachable target each millisecond. Without
// the minimum interval each loss would open a connection.
func TestLostResponsesOfAHealthyTargetCostFewConnections(t *testing.T) {
	targets := &probeCounter{}
	c, clock := crashesOf(t, targets)
	for i := range 1000 {
		c.responseLost(waxwingpick.Target{
			ID: "a",
		}, flight(clock.Now(), suspect.RequestCandidate(suspect.Fingerprint(i))))
		clock.Advance(time.Millisecond)
	}
	require.EqualValues(t, time.Second/probeInterval, targets.probes.Load())
	require.True(t, c.outbox.empty())
	suspected, convicted := c.blame.Counts(clock.Now())
	require.Zero(t, suspected+convicted)
}

// encode returns a message as another gateway receives it.
func encode(t *testing.T, m blameMessage) []byte {
	encoded, err := cbor.Marshal(m)
	require.NoError(t, err)
	return encoded
}

// TestCrashesAreTold has one gateway detect two crashes and report them to another one. Both have to refuse the request
// that was in flight at both crashes, which explains the crash of the bystander, and its complete response at one of them
// clears it at both.
func TestCrashesAreTold(t *testing.T) {
	one, clock := crashesOf(t, &probeCounter{
		err: waxwingpick.ErrEngineUnreachable,
	})
	two, _ := crashesOf(t, &probeCounter{})
	fatal, bystander := suspect.RequestCandidate(1), suspect.RequestCandidate(2)
	one.responseLost(waxwingpick.Target{
		ID: "a",
	}, flight(clock.Now(), fatal))
	one.responseLost(waxwingpick.Target{
		ID: "a",
	}, flight(clock.Now(), bystander))
	clock.Advance(time.Millisecond)
	one.responseLost(waxwingpick.Target{
		ID: "b",
	}, flight(clock.Now(), fatal))
	tell := func(from, to *crashTracker) {
		for range blameSends {
			require.False(t, from.outbox.empty())
			m := from.outbox.take(clock.Now(), "one")
			require.NoError(t, receiveAs(encode(t, m), func(m blameMessage) { to.apply(clock.Now(), m) }))
		}
		require.True(t, from.outbox.empty())
	}
	tell(one, two)
	for _, c := range []*crashTracker{one, two} {
		d := c.decide(clock.Now(), []suspect.Candidate{fatal}, 0)
		require.Equal(t, suspect.StatusRefused, d.Status)
		require.Positive(t, d.RetryAfter)
		require.Equal(t, suspect.StatusClean, c.decide(clock.Now(), []suspect.Candidate{bystander}, 0).Status)
		suspected, convicted := c.blame.Counts(clock.Now())
		require.Equal(t, []int{0, 1}, []int{suspected, convicted})
	}
	clock.Advance(time.Millisecond)
	two.completed(clock.Now(), []suspect.Candidate{fatal, bystander})
	tell(two, one)
	for _, c := range []*crashTracker{one, two} {
		require.Equal(t, suspect.StatusClean, c.decide(clock.Now(), []suspect.Candidate{fatal}, 0).Status)
	}
}

// TestConvictionsReachGatewaysThatStartLater has a gateway without knowledge receive the conviction of another one, and a
// gateway that has a complete response since then notify the other one.
func TestConvictionsReachGatewaysThatStartLater(t *testing.T) {
	later, clock := crashesOf(t, &probeCounter{})
	fatal := suspect.PartCandidate("dead")
	m := blameMessage{
		From: "one",
		Convicted: []convictionReport{{
			Kind:               uint8(fatal.Kind()),
			Sum:                fatal.Sum(),
			LastCrashAgeMillis: 1000,
		}},
	}
	later.apply(clock.Now(), m)
	require.Equal(t, suspect.StatusRefused, later.decide(clock.Now(), []suspect.Candidate{fatal}, 0).Status)
	later.completed(clock.Now(), []suspect.Candidate{fatal})
	later.outbox = blameOutbox{}
	later.apply(clock.Now(), m)
	require.Equal(t, suspect.StatusClean, later.decide(clock.Now(), []suspect.Candidate{fatal}, 0).Status)
	require.Len(t, later.outbox.take(clock.Now(), "later").Cleared, 1)
}

// TestToldCrashesAreBounded applies messages larger than any that a gateway sends, with ages out of range and unknown
// kinds of candidates.
func TestToldCrashesAreBounded(t *testing.T) {
	c, clock := crashesOf(t, &probeCounter{})
	m := blameMessage{
		From: "hostile",
	}
	for i := range uint64(100_000) {
		kind := uint8(i % 4)
		m.Strikes = append(m.Strikes, strikeReport{
			Crash:         "a/1",
			Kind:          kind,
			Sum:           i,
			SentAgeMillis: math.MinInt64,
		})
		notice := candidateNotice{
			Kind:      kind,
			Sum:       i,
			AgeMillis: math.MaxInt64,
		}
		m.Cleared = append(m.Cleared, notice)
		m.Trials = append(m.Trials, notice)
		m.Convicted = append(m.Convicted, convictionReport{
			Kind:               kind,
			Sum:                i,
			LastCrashAgeMillis: math.MaxInt64,
			FailedTrials:       math.MaxInt,
		})
	}
	for range 100 {
		c.apply(clock.Now(), m)
	}
	suspected, convicted := c.blame.Counts(clock.Now())
	require.LessOrEqual(t, suspected, maxStrikesPerMessage)
	require.LessOrEqual(t, convicted, maxConvictionsPerMessage)
	encoded, err := cbor.Marshal(m)
	require.NoError(t, err)
	require.Error(t, receiveAs(encoded[:len(encoded)/2], func(blameMessage) {}))
}

// TestBlameMessagesFitADatagram fills a message with what it may carry at most.
func TestBlameMessagesFitADatagram(t *testing.T) {
	c, clock := crashesOf(t, &probeCounter{})
	var strikes []suspect.CandidateStrike
	for i := range 2 * maxStrikesPerMessage {
		candidate := suspect.PartCandidate(fmt.Sprint(i))
		strikes = append(strikes, suspect.CandidateStrike{
			Candidate: candidate,
			Strike: suspect.Strike{
				CrashID: strings.Repeat("i", 24) + "/1771671224107",
			},
		})
		c.outbox.addCleared(time.Time{}, candidate)
		c.outbox.addTrial(time.Time{}, candidate)
	}
	c.outbox.addStrikes(strikes)
	require.Less(t, len(encode(t, c.outbox.take(clock.Now(), "gateway-of-a-long-name"))), udp.MaxMessage)
}

// TestCrashIsCountedOnce loses several responses at the crash of a target, before and after it is found to be down. Their
// candidates are cleared, so that no strike tells that the crash is known.
func TestCrashIsCountedOnce(t *testing.T) {
	c, clock := crashesOf(t, &probeCounter{})
	crashes := func() string {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodGet)
		c.process.options.Metrics.Handler()(&ctx)
		for line := range strings.Lines(string(ctx.Response.Body())) {
			if name, value, _ := strings.Cut(line, " "); name == "waxwingpick_gateway_target_crashes_total" {
				return strings.TrimSpace(value)
			}
		}
		return ""
	}
	one := waxwingpick.Target{
		ID: "one",
	}
	lose := func(n int) {
		f := flight(clock.Now(), suspect.RequestCandidate(suspect.Fingerprint(n)))
		clock.Advance(time.Millisecond)
		c.completed(clock.Now(), f.Candidates)
		c.responseLost(one, f)
	}
	for run := range 2 {
		for n := range 3 {
			lose(n)
		}
		c.unreachable(one)
		require.Equal(t, fmt.Sprint(run+1), crashes())
		sentBefore := flight(clock.Now().Add(-10*time.Millisecond), suspect.RequestCandidate(7))
		for range 3 {
			c.responseLost(one, sentBefore)
			clock.Advance(time.Millisecond)
		}
		require.Equal(t, fmt.Sprint(run+1), crashes())
		clock.Advance(time.Second)
	}
}

// TestCrashSoonAfterARestartIsDetected crashes a target again within the minimum interval of probes.
func TestCrashSoonAfterARestartIsDetected(t *testing.T) {
	targets := &probeCounter{
		err: waxwingpick.ErrEngineUnreachable,
	}
	c, clock := crashesOf(t, targets)
	one := waxwingpick.Target{
		ID: "one",
	}
	fatal := []suspect.Candidate{suspect.PartCandidate("fatal")}
	for range 3 {
		require.Equal(t, suspect.StatusClean, c.decide(clock.Now(), fatal, 0).Status)
		clock.Advance(probeInterval / 10)
		f := flight(clock.Now(), fatal...)
		clock.Advance(time.Millisecond)
		c.responseLost(one, f)
	}
	require.EqualValues(t, 3, targets.probes.Load())
	require.Equal(t, suspect.StatusRefused, c.decide(clock.Now(), fatal, 0).Status)
}
