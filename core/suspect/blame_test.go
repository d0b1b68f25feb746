package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/suspect"
)

// begun is the number of responses that began at each process before the first crash.
const begun = 1000

// history plays crashes and complete responses to one or more processes in turn.
type history struct {
	now     time.Time
	blames  []*suspect.Blame
	crashes int
}

func newHistory(processes int) *history {
	h := &history{
		now: time.Unix(1000, 0),
	}
	for i := range processes {
		b := suspect.NewBlame(fmt.Sprint("gateway", i))
		for range begun {
			b.Began(h.now)
		}
		h.blames = append(h.blames, b)
	}
	return h
}

// sent is a request in flight at a crash: its parts, how long before the crash it was sent, and how long before it its
// response began, negative if it had not begun.
type sent struct {
	id    int
	parts []string
	age   time.Duration
	ran   time.Duration
}

func (s sent) candidates() []suspect.Candidate {
	prompt := waxwingpick.Prompt{}
	for _, id := range append(append([]string(nil), s.parts...), fmt.Sprint("own", s.id)) {
		prompt.Parts = append(prompt.Parts, waxwingpick.PromptPart{
			ID: id,
		})
	}
	return suspect.CandidatesOf(suspect.Fingerprint(s.id), prompt)
}

// crash has one process detect a crash and report it to the others.
func (h *history) crash(inFlight ...sent) {
	h.crashes++
	d := suspect.DetectedCrash{
		Crash: suspect.Crash{
			ID: fmt.Sprint("crash", h.crashes),
		},
	}
	for _, s := range inFlight {
		f := suspect.Flight{
			Candidates: s.candidates(),
			SentAt:     h.now.Add(-s.age),
			LostAt:     h.now,
		}
		if s.ran >= 0 {
			f.BeganAt = waxwingpick.Some(h.now.Add(-s.ran))
		}
		d.InFlight = append(d.InFlight, f)
	}
	detector := h.blames[h.crashes%len(h.blames)]
	strikes, _ := detector.Crashed(h.now, d)
	for _, b := range h.blames {
		b.Apply(h.now, strikes)
	}
	for _, from := range h.blames {
		for _, conviction := range from.Convictions(100) {
			for _, to := range h.blames {
				to.Merge(h.now, conviction)
			}
		}
	}
}

// completed has one process complete a response and report what it clears to the others.
func (h *history) completed(s sent) {
	for _, c := range h.blames[0].Completed(h.now, s.candidates()) {
		for _, b := range h.blames[1:] {
			b.Clear(h.now, h.now, c.Candidate)
		}
	}
}

func (h *history) status(t require.TestingT, s sent) suspect.Status {
	status := h.blames[0].Decide(h.now, s.candidates(), 0).Status
	for _, b := range h.blames[1:] {
		require.Equal(t, status, b.Decide(h.now, s.candidates(), 0).Status, "processes disagree about %v", s.parts)
	}
	return status
}

func TestBlame(t *testing.T) {
	const step = time.Second
	fatal := func(id int) sent {
		return sent{
			id:    id,
			parts: []string{"first", "fatal"},
			age:   200 * time.Millisecond,
			ran:   60 * time.Millisecond,
		}
	}
	sound := func(id int) sent {
		return sent{
			id:    1000 + id,
			parts: []string{"first", "sound"},
			age:   300 * time.Millisecond,
			ran:   100 * time.Millisecond,
		}
	}
	tests := map[string]struct {
		play         func(h *history)
		fatalRefused bool
		soundRefused bool
	}{
		"two crashes": {
			play: func(h *history) {
				h.crash(fatal(1))
				h.now = h.now.Add(step)
				h.crash(fatal(2))
			},
		},
		"three crashes": {
			play: func(h *history) {
				for i := range 3 {
					h.crash(fatal(i))
					h.now = h.now.Add(step)
				}
			},
			fatalRefused: true,
		},
		"crashes before the response begins": {
			play: func(h *history) {
				for i := range 3 {
					s := fatal(i)
					s.ran = -1
					h.crash(s)
					h.now = h.now.Add(step)
				}
			},
			fatalRefused: true,
		},
		"crashes that happen together are one": {
			play: func(h *history) {
				for i := range 40 {
					h.crash(fatal(i))
				}
			},
		},
		"crashes more than a minute apart": {
			play: func(h *history) {
				for i := range 10 {
					h.crash(fatal(i))
					h.now = h.now.Add(time.Minute + step)
				}
			},
		},
		"responses that had begun long before": {
			play: func(h *history) {
				for i := range 10 {
					s := fatal(i)
					s.ran = 1100 * time.Millisecond
					s.age = 1200 * time.Millisecond
					h.now = h.now.Add(2 * step)
					h.crash(s)
				}
			},
		},
		"complete response in between": {
			play: func(h *history) {
				for i := range 10 {
					h.crash(fatal(i))
					h.now = h.now.Add(step)
					if i%2 == 1 {
						h.completed(fatal(100 + i))
						h.now = h.now.Add(step)
					}
				}
			},
		},
		"complete response after the conviction": {
			play: func(h *history) {
				for i := range 3 {
					h.crash(fatal(i))
					h.now = h.now.Add(step)
				}
				h.completed(fatal(100))
			},
		},
		"bystanders at every crash": {
			play: func(h *history) {
				for i := range 6 {
					h.crash(fatal(i), sound(i))
					h.now = h.now.Add(step)
					h.completed(sound(100 + i))
				}
			},
			fatalRefused: true,
		},
		"first part without complete responses": {
			play: func(h *history) {
				for i := range 6 {
					h.crash(fatal(i))
					h.now = h.now.Add(step)
				}
			},
			fatalRefused: true,
		},
		"first part that is the cause itself": {
			play: func(h *history) {
				for i := range 3 {
					h.crash(fatal(i))
					h.now = h.now.Add(step)
				}
				for i := range 3 {
					h.crash(sound(i))
					h.now = h.now.Add(step)
				}
			},
			fatalRefused: true,
			soundRefused: true,
		},
		"first part in a crash of another cause after the conviction": {
			play: func(h *history) {
				for i := range 4 {
					h.crash(fatal(i))
					h.now = h.now.Add(step)
				}
				h.crash(sound(1))
				h.now = h.now.Add(step)
				h.crash(sound(2))
			},
			fatalRefused: true,
		},
		"first part in a crash of another cause before the conviction": {
			play: func(h *history) {
				h.crash(fatal(1))
				h.now = h.now.Add(step)
				h.crash(sound(1))
				h.now = h.now.Add(step)
				for i := range 2 {
					h.crash(fatal(10 + i))
					h.now = h.now.Add(step)
				}
			},
			fatalRefused: true,
		},
		"first part in crashes of another cause, deeper part not convicted yet": {
			play: func(h *history) {
				h.crash(fatal(1))
				h.now = h.now.Add(step)
				h.crash(fatal(2))
				h.now = h.now.Add(step)
				h.crash(sound(1))
			},
		},
		"deeper part that was complete before": {
			play: func(h *history) {
				deeper := fatal(100)
				deeper.parts = []string{"deeper"}
				h.completed(deeper)
				for i := range 4 {
					h.now = h.now.Add(step)
					s := fatal(i)
					s.parts = append(s.parts, "deeper")
					h.crash(s)
				}
				h.now = h.now.Add(step)
				h.crash(deeper)
			},
			fatalRefused: true,
		},
		"part that was complete before": {
			play: func(h *history) {
				h.completed(fatal(100))
				for i := range 5 {
					h.now = h.now.Add(step)
					h.crash(fatal(i))
				}
			},
			fatalRefused: true,
		},
		"many other crashes ask for more evidence": {
			play: func(h *history) {
				for i := range 3 {
					var others []sent
					for j := range 60 {
						others = append(others, sent{
							id:    10_000 + 100*i + j,
							parts: []string{fmt.Sprint("other", i, j)},
						})
					}
					h.crash(others...)
					h.now = h.now.Add(step)
				}
				for i := range 3 {
					h.crash(fatal(i))
					h.now = h.now.Add(step)
				}
			},
		},
	}
	for name, test := range tests {
		for _, processes := range []int{1, 3} {
			t.Run(fmt.Sprint(name, "/", processes), func(t *testing.T) {
				h := newHistory(processes)
				test.play(h)
				require.Equal(t, test.fatalRefused, h.status(t, fatal(9000)) == suspect.StatusRefused, "request with the fatal part")
				require.Equal(t, test.soundRefused, h.status(t, sound(9000)) == suspect.StatusRefused, "request with the same first part")
			})
		}
	}
}

// TestWholeRequestIsRefusedAfterTwoCrashes repeats one request without prompt parts, and another one that a prompt part
// explains before the reports of its crashes arrive.
func TestWholeRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	h := newHistory(2)
	repeated := sent{
		id:  1,
		age: time.Millisecond,
		ran: -1,
	}
	h.crash(repeated)
	require.Equal(t, suspect.StatusClean, h.status(t, repeated))
	h.now = h.now.Add(time.Second)
	h.crash(repeated)
	require.Equal(t, suspect.StatusRefused, h.status(t, repeated))

	h = newHistory(1)
	bystander := sent{
		id:  2,
		age: 20 * time.Millisecond,
	}
	for i := range 3 {
		fatal := sent{
			id:    10 + i,
			parts: []string{"fatal"},
			age:   time.Millisecond,
		}
		if i > 0 {
			h.crash(bystander)
			h.crashes--
		}
		h.crash(fatal)
		h.now = h.now.Add(time.Second)
	}
	require.Equal(t, suspect.StatusClean, h.status(t, bystander))
}

// TestConvictedPartIsTriedRarely lets trials fail until a day is over, then succeed. A convicted part costs three crashes
// in a day, and no two processes try it at once.
func TestConvictedPartIsTriedRarely(t *testing.T) {
	h := newHistory(5)
	fatal := sent{
		parts: []string{"fatal"},
		age:   time.Millisecond,
	}
	next := func() sent {
		fatal.id++
		return fatal
	}
	for range 3 {
		h.crash(next())
		h.now = h.now.Add(time.Second)
	}
	start := h.now
	trials := 0
	for h.now.Sub(start) < 24*time.Hour {
		h.now = h.now.Add(time.Second)
		for i, b := range h.blames {
			request := next()
			d := b.Decide(h.now, request.candidates(), 0)
			if d.Status == suspect.StatusRefused {
				require.Positive(t, d.RetryAfter)
				continue
			}
			trials++
			require.Equal(t, suspect.StatusClean, b.Decide(h.now, request.candidates(), d.Trial).Status, "the trial itself goes on")
			for j, other := range h.blames {
				if i != j {
					other.TrialStarted(h.now, d.Candidate)
				}
			}
			h.now = h.now.Add(100 * time.Millisecond)
			require.Equal(t, suspect.StatusRefused, h.status(t, next()), "a trial is running")
			h.crash(request)
			require.Equal(t, suspect.StatusRefused, b.Decide(h.now, request.candidates(), d.Trial).Status, "the trial has failed")
		}
	}
	require.Equal(t, 3, trials)

	h.now = h.now.Add(48 * time.Hour)
	require.Equal(t, suspect.StatusSuspect, h.blames[0].Decide(h.now, next().candidates(), 0).Status)
	h.completed(fatal)
	require.Equal(t, suspect.StatusClean, h.status(t, next()))
}

// TestBlameConvergesAndClears draws crashes and complete responses, and delivers the reports to a second process in another
// order and repeatedly. What completed after its last crash runs at both processes, and a part in more crashes than allowed is refused
// at both.
func TestBlameConvergesAndClears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		one, two := suspect.NewBlame("one"), suspect.NewBlame("two")
		var reports []func()
		strikes := make(map[int]int)
		completedLast := make(map[int]bool)
		ids := 0
		request := func(part int) sent {
			ids++
			return sent{
				id:    ids,
				parts: []string{fmt.Sprint("part", part)},
			}
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Second)
			part := rapid.IntRange(0, 2).Draw(t, "part")
			s := request(part)
			if rapid.IntRange(0, 3).Draw(t, "completes") == 0 {
				at := now
				for _, c := range one.Completed(now, s.candidates()) {
					reports = append(reports, func() { two.Clear(now, at, c.Candidate) })
				}
				strikes[part] = 0
				completedLast[part] = true
				continue
			}
			found, _ := one.Crashed(now, suspect.DetectedCrash{
				Crash: suspect.Crash{
					ID: fmt.Sprint("crash", i),
				},
				InFlight: []suspect.Flight{{
					Candidates: s.candidates(),
					SentAt:     now.Add(-10 * time.Millisecond),
					LostAt:     now,
				}},
			})
			reports = append(reports, func() { two.Apply(now, found) })
			strikes[part]++
			completedLast[part] = false
		}
		for _, i := range rapid.Permutation(append(indices(len(reports)), indices(len(reports))...)).Draw(t, "order") {
			reports[i]()
		}
		for part := range 3 {
			for _, b := range []*suspect.Blame{one, two} {
				refused := b.Decide(now, request(part).candidates(), 0).Status == suspect.StatusRefused
				if completedLast[part] {
					require.False(t, refused, "part %d completed last", part)
				}
				if strikes[part] > 5 {
					require.True(t, refused, "part %d was in flight at %d crashes", part, strikes[part])
				}
			}
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestBlameIsBounded reports more candidates than are kept. A convicted part is kept, and complete responses of a
// million parts do not make the process forget it.
func TestBlameIsBounded(t *testing.T) {
	h := newHistory(1)
	b := h.blames[0]
	fatal := sent{
		parts: []string{"fatal"},
		age:   time.Millisecond,
	}
	for i := range 3 {
		fatal.id = i
		h.crash(fatal)
		h.now = h.now.Add(time.Second)
	}
	for i := range 100_000 {
		s := sent{
			id:    1000 + i,
			parts: []string{fmt.Sprint("hostile", i)},
			age:   time.Millisecond,
		}
		if i%10 == 0 {
			h.crash(s)
		}
		h.completed(s)
	}
	require.Equal(t, suspect.StatusRefused, h.status(t, fatal))
	suspected, convicted := b.Counts(h.now)
	require.Less(t, suspected, 4096)
	require.Equal(t, 1, convicted)
	require.Len(t, b.Convictions(64), 1)
}
