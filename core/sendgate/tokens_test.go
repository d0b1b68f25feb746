package sendgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

// limitedGates returns the gates of processes that list each other and know a limit of "target".
func limitedGates(perSecond float64, ids ...waxwingpick.InstanceID) map[waxwingpick.InstanceID]*sendgate.Gate {
	gates := make(map[waxwingpick.InstanceID]*sendgate.Gate)
	for _, id := range ids {
		g := newGate(id)
		g.SetProcesses(start, ids)
		g.Observe(start, start, target(1), limited(perSecond), true)
		gates[id] = g
	}
	return gates
}

// owner returns the process that owns the limit, and one of the others.
func owner(t *testing.T, gates map[waxwingpick.InstanceID]*sendgate.Gate) (owner, other waxwingpick.InstanceID) {
	t.Helper()
	for id, g := range gates {
		if a, ok := g.RequestTokens(start, "target"); ok {
			gates[id].HandleResponse(start, a.To, sendgate.TokenResponse{})
			return a.To, id
		}
	}
	t.Fatal("no process requests tokens")
	return "", ""
}

func TestOwnerGrantsWhatTheLimitAllows(t *testing.T) {
	gates := limitedGates(2, "a", "b", "c")
	to, from := owner(t, gates)
	require.Equal(t, sendgate.AdmissionRequestTokens, gates[from].Take(start, "target"))
	a, ok := gates[from].RequestTokens(start, "target")
	require.True(t, ok)
	refused := gates[to].HandleRequest(start, from, a)
	require.Zero(t, refused.Tokens, "an owner starts without tokens")
	require.Positive(t, refused.Wait)
	gates[from].HandleResponse(start, to, refused)
	require.Equal(t, sendgate.AdmissionRefused, gates[from].Take(start, "target"), "it waits before the next request")

	now := at(time.Second)
	a, ok = gates[from].RequestTokens(now, "target")
	require.True(t, ok)
	granted := gates[to].HandleRequest(now, from, a)
	require.Equal(t, 1, granted.Tokens)
	gates[from].HandleResponse(now, to, granted)
	require.Equal(t, sendgate.AdmissionTaken, gates[from].Take(now, "target"))
	require.NotEqual(t, sendgate.AdmissionTaken, gates[from].Take(now, "target"), "one token is for one request")
}

func TestGrantedTokensExpire(t *testing.T) {
	gates := limitedGates(2, "a", "b")
	to, from := owner(t, gates)
	gates[from].HandleResponse(start, to, sendgate.TokenResponse{
		Target: "target",
		Tokens: 1,
	})
	require.NotEqual(t, sendgate.AdmissionTaken, gates[from].Take(at(time.Second), "target"))
}

func TestHostileMessagesGrantLittle(t *testing.T) {
	const most = 16
	gates := limitedGates(10, "a", "b")
	to, from := owner(t, gates)
	now := at(time.Minute)
	for _, tokens := range []int{-1, 0, 1 << 40} {
		response := gates[to].HandleRequest(now, from, sendgate.TokenRequest{
			Report: sendgate.Report{
				Target:          "target",
				StartUnixMillis: 1,
			},
			Tokens: tokens,
		})
		require.GreaterOrEqual(t, response.Tokens, 0)
		require.LessOrEqual(t, response.Tokens, most)
		gates[from].HandleResponse(now, to, sendgate.TokenResponse{
			Target: "target",
			Tokens: tokens,
			Wait:   -time.Hour,
		})
	}
	taken := 0
	for gates[from].Take(at(10*time.Millisecond), "target") == sendgate.AdmissionTaken {
		taken++
		require.LessOrEqual(t, taken, most)
	}
}

// TestOwnerThatDoesNotRespondIsReplaced guards against a limit that nobody may use because its owner has failed, or is a
// process of a former version.
func TestOwnerThatDoesNotRespondIsReplaced(t *testing.T) {
	gates := limitedGates(2, "a", "b", "c", "d")
	failed, from := owner(t, gates)
	now := start
	for next := failed; next == failed; now = now.Add(20 * time.Millisecond) {
		require.Less(t, now.Sub(start), time.Second)
		gates[from].ProcessSeen(now, failed)
		a, ok := gates[from].RequestTokens(now, "target")
		if !ok {
			if gates[from].Take(now, "target") != sendgate.AdmissionRefused {
				return // The requesting process owns the limit now.
			}
			continue
		}
		if next = a.To; next == failed {
			gates[from].RequestTimedOut(now, a)
			continue
		}
		response := gates[next].HandleRequest(now, from, a)
		require.Equal(t, failed, response.Owner, "the next owner has to find out for itself")
		gates[from].HandleResponse(now, next, response)
		pings := gates[next].Pings(now)
		require.Len(t, pings, 1)
		require.Equal(t, failed, pings[0].To)
		gates[next].Pings(now.Add(100 * time.Millisecond))
		later := now.Add(200 * time.Millisecond)
		require.Empty(t, gates[next].HandleRequest(later, from, a).Owner, "it owns the limit now")
		return
	}
}

func TestResponsiveProcessOwnsItsLimitsAgain(t *testing.T) {
	gates := limitedGates(2, "a", "b", "c", "d")
	failed, from := owner(t, gates)
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		if a, ok := gates[from].RequestTokens(now, "target"); ok && a.To == failed {
			gates[from].RequestTimedOut(now, a)
		}
	}
	if a, ok := gates[from].RequestTokens(now, "target"); ok {
		require.NotEqual(t, failed, a.To)
		gates[from].HandleResponse(now, a.To, sendgate.TokenResponse{})
	}
	gates[from].MarkResponsive(now, failed)
	now = now.Add(2 * time.Second)
	a, ok := gates[from].RequestTokens(now, "target")
	require.True(t, ok)
	require.Equal(t, failed, a.To)
}

func TestTokenRequestsAreBounded(t *testing.T) {
	g := newGate("self")
	g.SetProcesses(start, []waxwingpick.InstanceID{"a", "b", "c", "d", "e", "f"})
	const targets, seconds = 500, 10
	for i := range targets {
		g.Observe(start, start, waxwingpick.Target{
			ID: waxwingpick.TargetID(rune('A' + i)),
		}, limited(3), true)
	}
	requests := 0
	for now := start; now.Before(at(seconds * time.Second)); now = now.Add(10 * time.Millisecond) {
		for i := range targets {
			if a, ok := g.RequestTokens(now, waxwingpick.TargetID(rune('A'+i))); ok {
				requests++
				g.HandleResponse(now, a.To, sendgate.TokenResponse{
					Target: a.Report.Target,
				})
			}
		}
	}
	require.Greater(t, requests, 40*seconds)
	require.LessOrEqual(t, requests, 50*seconds+10)
}
