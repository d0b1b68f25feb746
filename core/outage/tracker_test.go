package outage_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/outage"
)

// TestTransitionsAreReportedOnce records one call per second, where "." is a success and "x" a failure.
func TestTransitionsAreReportedOnce(t *testing.T) {
	failure := errors.New("connection refused")
	lost := func(after time.Duration) outage.Transition {
		return outage.Transition{
			Lost:     true,
			Lasted:   after,
			Failures: 3,
			Err:      failure,
		}
	}
	back := func(after time.Duration, failures int) outage.Transition {
		return outage.Transition{
			Lasted:   after,
			Failures: failures,
		}
	}
	tests := []struct {
		name        string
		calls       string
		transitions []outage.Transition
	}{
		{
			name:  "nothing fails",
			calls: "....",
		},
		{
			name:  "lost responses are no outage",
			calls: ".x.xx.xx.",
		},
		{
			name:        "an outage is reported at its third failure and at its end",
			calls:       "..xxxxx..",
			transitions: []outage.Transition{lost(2 * time.Second), back(5*time.Second, 5)},
		},
		{
			name:        "unavailable from the start",
			calls:       "xxxx",
			transitions: []outage.Transition{lost(2 * time.Second)},
		},
		{
			name:        "twice",
			calls:       "xxx.xxx.",
			transitions: []outage.Transition{lost(2 * time.Second), back(3*time.Second, 3), lost(2 * time.Second), back(3*time.Second, 3)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := outage.NewTracker(outage.DefaultThreshold)
			now := time.Unix(0, 0)
			var transitions []outage.Transition
			for _, call := range test.calls {
				now = now.Add(time.Second)
				var err error
				if call == 'x' {
					err = failure
				}
				if transition, changed := tracker.Observe(now, err); changed {
					transitions = append(transitions, transition)
					require.Equal(t, transition.Lost, tracker.Lost())
				}
			}
			require.Equal(t, test.transitions, transitions)
		})
	}
}
