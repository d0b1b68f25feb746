package gateway

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/sendgate"
	"waxwingpick/core/timer"
)

// requestRecorder keeps the numbers of token requests instead of sending them.
type requestRecorder struct {
	numbers chan uint64
}

func (r requestRecorder) sendReports([]sendgate.Report) {}

func (r requestRecorder) sendTokenRequest(number uint64, _ sendgate.TokenRequest) bool {
	r.numbers <- number
	return true
}

// requester returns the statements of a process that requests tokens of "target" from another one.
func requester(t *testing.T, timers *timer.Manual) (*statements, requestRecorder, waxwingpick.InstanceID) {
	t.Helper()
	ids := []waxwingpick.InstanceID{"a", "b"}
	for i, id := range ids {
		s := newStatements(&Process{
			options: Options{
				Instance: id,
			},
			timers: timers,
		})
		r := requestRecorder{
			numbers: make(chan uint64, 10),
		}
		s.peers = r
		s.setProcesses(timers.Now(), ids)
		s.observe(timers.Now(), timers.Now(), waxwingpick.Target{
			ID: "target",
		}, waxwingpick.Statement{
			RequestLimit: waxwingpick.Some(1.0),
		}, true)
		if s.take(timers.Now(), "target") == sendgate.AdmissionRequestTokens {
			return s, r, ids[1-i]
		}
	}
	t.Fatal("no process requests tokens")
	return nil, requestRecorder{}, ""
}

// TestTokenResponseCountsOnce guards against more requests than granted after a duplicated or an unsolicited response.
func TestTokenResponseCountsOnce(t *testing.T) {
	timers := timer.NewManual(time.Unix(1_000_000, 0))
	s, sent, owner := requester(t, timers)
	var requesting conc.WaitGroup
	requesting.Go(func() { s.requestToken(t.Context(), "target") })
	number := <-sent.numbers
	granted := sendgate.TokenResponse{
		Target: "target",
		Tokens: 1,
	}
	for _, n := range []uint64{number + 1, number, number} {
		s.tokenResponse(timers.Now(), owner, n, granted)
	}
	requesting.Wait()
	require.Equal(t, sendgate.AdmissionTaken, s.take(timers.Now(), "target"))
	require.NotEqual(t, sendgate.AdmissionTaken, s.take(timers.Now(), "target"))
}

// TestGatewaysShareALimitOverTheirLink states a limit to one gateway, and checks that another one learns it and gets its
// tokens.
func TestGatewaysShareALimitOverTheirLink(t *testing.T) {
	_, all, clocks := newNetwork(t, 3, 3)
	advance := func(d time.Duration) {
		for _, c := range clocks {
			c.Advance(d)
		}
	}
	for _, g := range all {
		g.peers.batchApplied()
	}
	now := clocks[0].Now()
	all[0].process.statements.observe(now, now, waxwingpick.Target{
		ID: "a",
	}, waxwingpick.Statement{
		RequestLimit: waxwingpick.Some(2.0),
	}, true)
	for range 30 {
		advance(statementsInterval)
		for _, g := range all {
			g.process.statements.sync(clocks[0].Now())
		}
	}
	taken := 0
	for range 100 {
		advance(100 * time.Millisecond)
		for _, g := range all {
			s := g.process.statements
			admission := s.take(clocks[0].Now(), "a")
			if admission == sendgate.AdmissionRequestTokens {
				s.requestToken(t.Context(), "a")
				admission = s.take(clocks[0].Now(), "a")
			}
			if admission == sendgate.AdmissionTaken {
				taken++
			}
		}
	}
	require.InDelta(t, 19, taken, 3, "requests in 10 s at a limit of 2 a second")
}

func TestReportsSurviveTheirEncoding(t *testing.T) {
	for _, r := range []sendgate.Report{
		{
			Target:          "target",
			StartUnixMillis: 7,
			Limit:           waxwingpick.Some(3.3),
			LimitAge:        waxwingpick.Some(time.Second),
			LeaveAge:        waxwingpick.Some(2 * time.Second),
		},
		{
			Target:   "withdrawn",
			LimitAge: waxwingpick.Some(time.Second),
		},
		{
			Target: "nothing",
		},
	} {
		encoded, err := cbor.Marshal(encodeReport(r))
		require.NoError(t, err)
		var decoded statementReport
		require.NoError(t, cbor.Unmarshal(encoded, &decoded))
		got, ok := decoded.decode()
		require.True(t, ok)
		require.Equal(t, r, got)
	}
}

func FuzzReceiveStatements(f *testing.F) {
	for kind, m := range map[byte]any{
		reportsKind: reportsMessage{
			From: "b",
		},
		tokenRequestKind: tokenRequestMessage{
			From: "b",
		},
		tokenResponseKind: tokenResponseMessage{
			From: "b",
		},
	} {
		encoded, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(kind, encoded)
	}
	f.Fuzz(func(t *testing.T, kind byte, encoded []byte) {
		_, all, clocks := newNetwork(t, 1, 2)
		all[0].receiveStatements(clocks[0].Now(), kind, encoded)
	})
}
