package targetlist_test

import (
	"fmt"
	"slices"
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
	l.Put(start, target("lives"))
	require.False(t, l.Expire(back.Add(targetlist.RemovalGrace-time.Millisecond)))
	require.True(t, l.Expire(back.Add(targetlist.RemovalGrace)))
	require.Equal(t, []waxwingpick.TargetID{"lives"}, ids(l))
	require.False(t, l.Expire(back.Add(time.Minute)))
}

func TestEventsTellWhyATargetIsKept(t *testing.T) {
	l := targetlist.New()
	leaving := target("a")
	leaving.Leaving = true
	l.Replace(start, []waxwingpick.Target{target("a"), target("back"), target("gone")})
	l.MarkUnavailable()
	l.Put(start, leaving)
	l.Put(start, leaving)
	l.MarkAvailable(start)
	l.Replace(start, nil)
	l.Put(start, target("back"))
	l.Expire(start.Add(targetlist.RemovalGrace))
	var told []string
	for _, e := range l.TakeEvents() {
		told = append(told, fmt.Sprint(e.Target.ID, " ", e.Kind, " ", e.Missing))
	}
	slices.Sort(told[1:4])
	require.Equal(t, []string{
		"a leaving 0s",
		"a removed 0s",
		"back removalDelayed 0s",
		"gone removalDelayed 0s",
		"back returned 0s",
		"gone removed 1.9s",
	}, told)
	require.Empty(t, l.TakeEvents())
}

func TestLeavingTargetIsRemovedDuringAnOutage(t *testing.T) {
	l := targetlist.New()
	leaving := target("a")
	leaving.Leaving = true
	l.Put(start, leaving)
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
				l.Put(start, target(n))
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

// written returns the entry of one incarnation of a target at its n-th write.
func written(id waxwingpick.TargetID, start, n int64, leaving bool) waxwingpick.Target {
	t := target(id)
	t.StartUnixMillis = start
	t.Sequence = n
	t.Leaving = leaving
	return t
}

// TestTargetsDoNotGoBackWithTheList reads an older copy of the list. What was known of an incarnation holds until it writes its
// entry again, and no longer than the entries of targets that have ended take to expire.
func TestTargetsDoNotGoBackWithTheList(t *testing.T) {
	at := start.Add(time.Minute)
	tests := map[string]struct {
		known  []waxwingpick.Target
		gone   waxwingpick.TargetID
		copied []waxwingpick.Target
		// later is written after the copy was read.
		later []waxwingpick.Target
		want  []waxwingpick.Target
	}{
		"leaving": {
			known:  []waxwingpick.Target{written("a", 1, 5, true)},
			copied: []waxwingpick.Target{written("a", 1, 3, false)},
			want:   []waxwingpick.Target{written("a", 1, 5, true)},
		},
		"leaving, ready write was not received": {
			known:  []waxwingpick.Target{written("a", 1, 5, true)},
			copied: []waxwingpick.Target{written("a", 1, 9, false)},
			want:   []waxwingpick.Target{written("a", 1, 5, true)},
		},
		"leaving, written again": {
			known:  []waxwingpick.Target{written("a", 1, 5, true)},
			copied: []waxwingpick.Target{written("a", 1, 3, false)},
			later:  []waxwingpick.Target{written("a", 1, 6, true)},
			want:   []waxwingpick.Target{written("a", 1, 6, true)},
		},
		"leaving, copy read twice": {
			known:  []waxwingpick.Target{written("a", 1, 5, true)},
			copied: []waxwingpick.Target{written("a", 1, 3, false)},
			later:  []waxwingpick.Target{written("a", 1, 3, false)},
			want:   []waxwingpick.Target{written("a", 1, 5, true)},
		},
		"leaving, next incarnation": {
			known:  []waxwingpick.Target{written("a", 1, 5, true)},
			copied: []waxwingpick.Target{written("a", 1, 3, false)},
			later:  []waxwingpick.Target{written("a", 2, 1, false)},
			want:   []waxwingpick.Target{written("a", 2, 1, false)},
		},
		"removed": {
			known:  []waxwingpick.Target{written("a", 1, 5, false)},
			gone:   "a",
			copied: []waxwingpick.Target{written("a", 1, 7, false)},
		},
		"removed, but it lives": {
			known:  []waxwingpick.Target{written("a", 1, 5, false)},
			gone:   "a",
			copied: []waxwingpick.Target{written("a", 1, 7, false)},
			later:  []waxwingpick.Target{written("a", 1, 8, false)},
			want:   []waxwingpick.Target{written("a", 1, 8, false)},
		},
		"started again": {
			known:  []waxwingpick.Target{written("a", 2, 1, false)},
			copied: []waxwingpick.Target{written("a", 1, 90, false)},
			want:   []waxwingpick.Target{written("a", 2, 1, false)},
		},
		"missing in the copy": {
			known: []waxwingpick.Target{written("a", 1, 5, false)},
			want:  []waxwingpick.Target{written("a", 1, 5, false)},
		},
		"unknown before": {
			copied: []waxwingpick.Target{written("a", 1, 5, false)},
			want:   []waxwingpick.Target{written("a", 1, 5, false)},
		},
		"ready": {
			known:  []waxwingpick.Target{written("a", 1, 5, false)},
			copied: []waxwingpick.Target{written("a", 1, 3, false)},
			want:   []waxwingpick.Target{written("a", 1, 5, false)},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := targetlist.New()
			l.Replace(start, tt.known)
			if tt.gone != "" {
				l.Remove(at.Add(-time.Second), tt.gone)
			}
			l.MarkUnavailable()
			l.MarkAvailable(at)
			l.Replace(at, tt.copied)
			for _, later := range tt.later {
				l.Put(at, later)
			}
			require.ElementsMatch(t, tt.want, l.Targets())
			require.False(t, l.Expire(at.Add(time.Second)))
			require.ElementsMatch(t, tt.want, l.Targets())
		})
	}
}

// TestEntriesAreHeldBackForATime checks that an entry that brings a leaving or removed incarnation back applies in the end, if it stays
// in the list and is not outdated.
func TestEntriesAreHeldBackForATime(t *testing.T) {
	back := written("a", 1, 7, false)
	for name, tt := range map[string]struct {
		known waxwingpick.Target
		gone  bool
		read  waxwingpick.Target
		want  []waxwingpick.Target
	}{
		"leaving":           {known: written("a", 1, 5, true), read: back, want: []waxwingpick.Target{back}},
		"removed":           {known: written("a", 1, 5, false), gone: true, read: back, want: []waxwingpick.Target{back}},
		"leaving, outdated": {known: written("a", 1, 5, true), read: written("a", 1, 3, false), want: []waxwingpick.Target{written("a", 1, 5, true)}},
		"removed, outdated": {known: written("a", 1, 5, false), gone: true, read: written("a", 1, 3, false)},
	} {
		t.Run(name, func(t *testing.T) {
			l := targetlist.New()
			l.Replace(start, []waxwingpick.Target{tt.known})
			if tt.gone {
				l.Remove(start, "a")
			}
			before := l.Targets()
			l.Replace(start, []waxwingpick.Target{tt.read})
			require.False(t, l.Expire(start.Add(targetlist.HoldTime-time.Millisecond)))
			require.Equal(t, before, l.Targets())
			l.Expire(start.Add(targetlist.HoldTime))
			require.ElementsMatch(t, tt.want, l.Targets())

			l = targetlist.New()
			l.Replace(start, []waxwingpick.Target{tt.known})
			if tt.gone {
				l.Remove(start, "a")
			}
			l.Replace(start, []waxwingpick.Target{tt.read})
			l.Replace(start.Add(time.Second), nil)
			l.Expire(start.Add(targetlist.HoldTime))
			require.Empty(t, l.Targets(), "the entry expired")
		})
	}
}

// TestLateWritesDoNotBringTargetsBack guards against writes that the service executes after later ones of the same target, or after its
// removal: new work would reach a target that has left.
func TestLateWritesDoNotBringTargetsBack(t *testing.T) {
	ready, leaving := written("a", 2, 5, false), written("a", 2, 5, true)
	for name, tt := range map[string]struct {
		known waxwingpick.Target
		gone  bool
		late  []waxwingpick.Target
		want  []waxwingpick.Target
	}{
		"leaving":                                {known: leaving, late: []waxwingpick.Target{written("a", 2, 3, false)}, want: []waxwingpick.Target{leaving}},
		"leaving, two late writes":               {known: leaving, late: []waxwingpick.Target{written("a", 2, 3, false), written("a", 2, 4, false)}, want: []waxwingpick.Target{leaving}},
		"removed, had said that it leaves":       {known: leaving, gone: true, late: []waxwingpick.Target{written("a", 2, 3, false)}},
		"removed, had not said that it leaves":   {known: ready, gone: true, late: []waxwingpick.Target{written("a", 2, 3, false)}},
		"removed, late write was the last":       {known: ready, gone: true, late: []waxwingpick.Target{written("a", 2, 6, false)}},
		"removed, lives":                         {known: ready, gone: true, late: []waxwingpick.Target{written("a", 2, 6, false), written("a", 2, 7, false)}, want: []waxwingpick.Target{written("a", 2, 7, false)}},
		"earlier incarnation":                    {known: ready, late: []waxwingpick.Target{written("a", 1, 9, false)}, want: []waxwingpick.Target{ready}},
		"earlier incarnation, removed":           {known: ready, gone: true, late: []waxwingpick.Target{written("a", 1, 9, false)}},
		"start is missing":                       {known: leaving, late: []waxwingpick.Target{written("a", 0, 9, false)}, want: []waxwingpick.Target{leaving}},
		"number is missing":                      {known: leaving, late: []waxwingpick.Target{written("a", 2, 0, false)}, want: []waxwingpick.Target{leaving}},
		"later incarnation, its numbers restart": {known: leaving, late: []waxwingpick.Target{written("a", 3, 1, false)}, want: []waxwingpick.Target{written("a", 3, 1, false)}},
		"later incarnation, removed":             {known: leaving, gone: true, late: []waxwingpick.Target{written("a", 3, 1, false)}, want: []waxwingpick.Target{written("a", 3, 1, false)}},
		"no longer leaving":                      {known: leaving, late: []waxwingpick.Target{written("a", 2, 6, false), written("a", 2, 7, false)}, want: []waxwingpick.Target{written("a", 2, 7, false)}},
		"no incarnation is known":                {known: written("a", 0, 0, true), late: []waxwingpick.Target{written("a", 0, 0, false)}, want: []waxwingpick.Target{written("a", 0, 0, false)}},
	} {
		for _, complete := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", complete reading ", complete), func(t *testing.T) {
				l := targetlist.New()
				l.Put(start, tt.known)
				if tt.gone {
					l.Remove(start, "a")
				}
				now := start
				for _, late := range tt.late {
					now = now.Add(time.Second)
					if complete {
						l.Replace(now, []waxwingpick.Target{late})
					} else {
						l.Put(now, late)
					}
				}
				require.ElementsMatch(t, tt.want, l.Targets())
			})
		}
	}
}
