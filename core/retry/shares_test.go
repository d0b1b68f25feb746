package retry_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/internal/rapidtest"
)

// fleetBounds are small compared with the requests of the simulated fleets, as in a large fleet.
var fleetBounds = retry.Bounds{
	Ratio:  0.2,
	Slack:  60,
	Window: 10 * time.Second,
}

// fleet is a set of processes whose targets fail in turn. Each process retries whatever its budget allows.
type fleet struct {
	draw      rapidtest.Draw
	build     func() *retry.Policy
	now       time.Time
	processes []*retry.Policy
	// weights distributes the requests unevenly.
	weights  []int
	requests []time.Time
	retries  []time.Time
}

func newFleet(draw rapidtest.Draw, build func() *retry.Policy) *fleet {
	s := &fleet{
		draw:  draw,
		build: build,
		now:   start,
	}
	for range 1 + draw(80) {
		s.addProcess()
	}
	s.publishCount()
	return s
}

func (s *fleet) addProcess() {
	s.processes = append(s.processes, s.build())
	s.weights = append(s.weights, 1+s.draw(8))
}

// publishCount sends the processes their number. One process in ten does not receive it.
func (s *fleet) publishCount() {
	for _, p := range s.processes {
		if s.draw(10) > 0 {
			p.SetProcesses(s.now, len(s.processes))
		}
	}
}

// churn starts, restarts or ends processes.
func (s *fleet) churn() {
	switch s.draw(5) {
	case 0:
		s.addProcess()
	case 1:
		s.processes[s.draw(len(s.processes))] = s.build()
	case 2:
		for i := range s.processes {
			s.processes[i] = s.build()
		}
	case 3:
		if len(s.processes) > 1 {
			s.processes, s.weights = s.processes[1:], s.weights[1:]
		}
	}
}

// runSecond sends the requests of one second and, if failing, retries until no budget allows another retry.
func (s *fleet) runSecond(requests int, failing bool) error {
	const steps = 20
	for step := range steps {
		s.now = s.now.Add(time.Second / steps)
		for range requests/steps + s.draw(2) {
			i := s.draw(len(s.processes))
			if s.draw(8) >= s.weights[i] {
				i = 0
			}
			s.processes[i].Request(s.now)
			s.requests = append(s.requests, s.now)
		}
		if !failing || step%4 > 0 {
			continue
		}
		for _, p := range s.processes {
			for p.Decide(s.now, retry.Attempt{
				Number:   1,
				Refusal:  waxwingpick.NotRun(waxwingpick.ReasonLeaving, 0, ""),
				Deadline: s.now.Add(time.Minute),
			}).Retry {
				s.retries = append(s.retries, s.now)
			}
		}
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// check compares the retries of the window that ends now with the allowed number.
func (s *fleet) check() error {
	w := fleetBounds.Window
	maxRequests := 0
	for _, end := range []time.Time{s.now, s.now.Add(-w / 2), s.now.Add(-w)} {
		maxRequests = max(maxRequests, within(s.requests, end, w))
	}
	allowed := fleetBounds.Ratio*float64(maxRequests) + fleetBounds.Slack
	if got := within(s.retries, s.now, w); float64(got) > allowed {
		return fmt.Errorf("%d retries in a window of %d requests at %d processes, allowed are %.0f", got, maxRequests, len(s.processes), math.Floor(allowed))
	}
	return nil
}

func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(end.Add(-window)); i-- {
		if !times[i].After(end) {
			n++
		}
	}
	return n
}

// episode draws changes of load, failures and processes.
func (s *fleet) episode() error {
	for range 2 + s.draw(4) {
		requests := []int{0, 20, 200}[s.draw(3)]
		failing := s.draw(2) > 0
		for range 1 + s.draw(12) {
			if s.draw(4) == 0 {
				s.churn()
			}
			if s.draw(3) == 0 {
				s.publishCount()
			}
			if err := s.runSecond(requests, failing); err != nil {
				return err
			}
		}
	}
	return nil
}

func fleetEpisode(t require.TestingT, opt retry.Option) rapidtest.Episode {
	return func(draw rapidtest.Draw) error {
		return newFleet(draw, func() *retry.Policy {
			p, err := retry.New(opt)
			require.NoError(t, err)
			return p
		}).episode()
	}
}

// fleetChecks limits the number of episodes, because each has thousands of requests.
const fleetChecks = 60

func TestRetriesOfAllProcessesKeepTheirBounds(t *testing.T) {
	for seed := range uint64(rapidtest.ScaledCount(fleetChecks)) {
		require.NoError(t, fleetEpisode(t, retry.WithSharedBudget(fleetBounds))(rapidtest.Seeded(seed)), "seed %d", seed)
	}
}

func TestOracleCatchesBudgetsOfEachProcess(t *testing.T) {
	require.Error(t, rapidtest.FirstViolation(fleetEpisode(t, retry.Fraction(0.15))))
}

// TestShareOfTheSlackFollowsTheNumberOfProcesses counts the retries that a process without requests may make.
func TestShareOfTheSlackFollowsTheNumberOfProcesses(t *testing.T) {
	p, err := retry.New(retry.WithSharedBudget(fleetBounds))
	require.NoError(t, err)
	now := start
	retries := func() int {
		now = now.Add(2 * fleetBounds.Window)
		n := 0
		for p.Decide(now, retry.Attempt{
			Number:   1,
			Refusal:  waxwingpick.NotRun(waxwingpick.ReasonLeaving, 0, ""),
			Deadline: now.Add(time.Minute),
		}).Retry {
			n++
		}
		return n
	}
	require.Zero(t, retries(), "the number of processes was not set")
	for _, c := range []struct {
		processes int
		after     time.Duration
		want      int
	}{
		{processes: 10, want: 3},
		{processes: 30, want: 1},
		{processes: 60, want: 0},
		// Processes that have ended count for a minute.
		{processes: 5, want: 0},
		{processes: 5, after: time.Hour, want: 6},
	} {
		now = now.Add(c.after)
		p.SetProcesses(now, c.processes)
		require.Equal(t, c.want, retries(), "%d processes", c.processes)
	}
}

func TestBoundsOfSeveralProcessesAreChecked(t *testing.T) {
	for _, b := range []retry.Bounds{
		{Ratio: -1, Window: time.Second},
		{Ratio: math.NaN(), Window: time.Second},
		{Ratio: 2, Window: time.Second},
		{Slack: -1, Window: time.Second},
		{Slack: math.Inf(1), Window: time.Second},
		{},
	} {
		_, err := retry.New(retry.WithSharedBudget(b))
		require.Error(t, err)
	}
}

// TestRepeatedPrefillCountsAsRetry counts a retry as two if it repeats the prefill first.
func TestRepeatedPrefillCountsAsRetry(t *testing.T) {
	p, err := retry.New(retry.WithSharedBudget(retry.Bounds{
		Slack:  10,
		Window: 10 * time.Second,
		Ratio:  0.2,
	}))
	require.NoError(t, err)
	p.SetProcesses(start, 1)
	now := start.Add(20 * time.Second)
	a := retry.Attempt{
		Number:   1,
		Cost:     2,
		Refusal:  waxwingpick.NotRun(waxwingpick.ReasonLeaving, 0, ""),
		Deadline: now.Add(time.Minute),
	}
	for i, unsent := range []bool{false, true, false, false} {
		a.Unsent = unsent
		require.Equal(t, i < 3, p.Decide(now, a).Retry, "retry %d", i)
	}
}
