package outage_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/outage"
)

// TestTurnsAreToldOnce takes a call a second, "." answered and "x" failed.
func TestTurnsAreToldOnce(t *testing.T) {
	failure := errors.New("connection refused")
	lost := func(after time.Duration) outage.Turn {
		return outage.Turn{
			Lost:     true,
			Lasted:   after,
			Failures: 3,
			Err:      failure,
		}
	}
	back := func(after time.Duration, failures int) outage.Turn {
		return outage.Turn{
			Lasted:   after,
			Failures: failures,
		}
	}
	tests := []struct {
		name  string
		calls string
		turns []outage.Turn
	}{
		{
			name:  "nothing fails",
			calls: "....",
		},
		{
			name:  "lost answers are no outage",
			calls: ".x.xx.xx.",
		},
		{
			name:  "an outage is told at its third failure and at its end",
			calls: "..xxxxx..",
			turns: []outage.Turn{lost(2 * time.Second), back(5*time.Second, 5)},
		},
		{
			name:  "away from the start",
			calls: "xxxx",
			turns: []outage.Turn{lost(2 * time.Second)},
		},
		{
			name:  "twice",
			calls: "xxx.xxx.",
			turns: []outage.Turn{lost(2 * time.Second), back(3*time.Second, 3), lost(2 * time.Second), back(3*time.Second, 3)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := outage.NewTracker(outage.DefaultAfter)
			now := time.Unix(0, 0)
			var turns []outage.Turn
			for _, call := range test.calls {
				now = now.Add(time.Second)
				var err error
				if call == 'x' {
					err = failure
				}
				if turn, turned := tracker.Observe(now, err); turned {
					turns = append(turns, turn)
					require.Equal(t, turn.Lost, tracker.Lost())
				}
			}
			require.Equal(t, test.turns, turns)
		})
	}
}
