package targetlist_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/targetlist"
	"waxwingpick/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 500)
}

var start = time.Unix(1000, 0)

func target(id waxwingpick.TargetID) waxwingpick.Target {
	return waxwingpick.Target{
		ID: id,
	}
}

func ids(l *targetlist.List) []waxwingpick.TargetID {
	var all []waxwingpick.TargetID
	for _, t := range l.Targets() {
		all = append(all, t.ID)
	}
	return all
}

func TestRemovalIsImmediateWhileTheServiceResponds(t *testing.T) {
	l := targetlist.New()
	l.Replace(start, []waxwingpick.Target{target("b"), target("a")})
	l.Remove(start, "a")
	require.Equal(t, []waxwingpick.TargetID{"b"}, ids(l))
}

func TestEntriesExpiredInAnOutageMayReappear(t *testing.T) {
	l := targetlist.New()
	l.Replace(start, []waxwingpick.Target{target("lives"), target("gone")})
	l.MarkUnavailable()
	back := start.Add(10 * time.Second)
	l.MarkAvailable(back)
	l.Replace(back, nil)
	require.Equal(t, []waxwingpick.TargetID{"gone", "lives"}, ids(l))
	l.Put(target("lives"))
	require.False(t, l.Expire(back.Add(targetlist.RemovalGrace-time.Millisecond)))
	require.True(t, l.Expire(back.Add(targetlist.RemovalGrace)))
	require.Equal(t, []waxwingpick.TargetID{"lives"}, ids(l))
	require.False(t, l.Expire(back.Add(time.Minute)))
}

func TestLeavingTargetIsRemovedDuringAnOutage(t *testing.T) {
	l := targetlist.New()
	leaving := target("a")
	leaving.Leaving = true
	l.Put(leaving)
	l.MarkUnavailable()
	l.MarkAvailable(start)
	l.Remove(start, "a")
	require.Empty(t, ids(l))
}

// TestListAgainstModel compares the list with a model that retains missing entries only within the grace after an
// outage.
func TestListAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := targetlist.New()
		now := start
		// live holds the present entries, held the missing ones within the grace period.
		live := make(map[waxwingpick.TargetID]bool)
		held := make(map[waxwingpick.TargetID]bool)
		away, back := false, time.Time{}
		settling := func() bool {
			return away || !back.IsZero() && now.Sub(back) < targetlist.RemovalGrace
		}
		id := func() waxwingpick.TargetID {
			return waxwingpick.TargetID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(*rapid.T) {
				n := id()
				l.Put(target(n))
				live[n] = true
				delete(held, n)
			},
			"remove": func(*rapid.T) {
				n := id()
				l.Remove(now, n)
				if live[n] && settling() {
					held[n] = true
				}
				if !settling() {
					delete(held, n)
				}
				delete(live, n)
			},
			"lost": func(*rapid.T) {
				l.MarkUnavailable()
				away = true
			},
			"back": func(*rapid.T) {
				l.MarkAvailable(now)
				if away {
					back = now
				}
				away = false
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				l.Expire(now)
				if !settling() {
					clear(held)
				}
			},
			"": func(t *rapid.T) {
				require.Len(t, l.Targets(), len(live)+len(held))
				for _, known := range l.Targets() {
					require.True(t, live[known.ID] || held[known.ID], "%s", known.ID)
				}
			},
		})
	})
}
