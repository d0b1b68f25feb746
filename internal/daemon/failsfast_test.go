package daemon

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick/internal/standin/target"
)

const (
	// fastFailCalls requests arrive fastFailInterval apart, while a sound target takes fastFailWork for one.
	fastFailCalls    = 100
	fastFailInterval = time.Second / 32
	fastFailWork     = 60 * time.Millisecond
)

// TestTargetThatFailsAtOnceDrawsNoWork has one of two targets fail every request at once, which leaves it idle, while the other one takes
// its time. Most requests must be served.
func TestTargetThatFailsAtOnceDrawsNoWork(t *testing.T) {
	t.Parallel()
	for _, status := range []int{404, 408, 429, 500, 503} {
		for _, path := range []string{"/order/1", "/read/1", "/long/1", "/quick/1"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				t.Parallel()
				s := startTestGateway(t)
				setFaults(target.Faults{
					ResponseDelay: fastFailWork,
				}, s.services[1], s.engines[1])
				setFaults(target.Faults{
					Status: status,
				}, s.services[0], s.engines[0])
				var served atomic.Int64
				var calls conc.WaitGroup
				for i := range fastFailCalls {
					calls.Go(func() {
						got, _, complete := s.read(s.send(fmt.Sprint("id", i), path, "", "Waxwingpick-Token-Counts", "500,10"))
						if complete && got == http.StatusOK {
							served.Add(1)
						}
					})
					time.Sleep(fastFailInterval)
				}
				calls.Wait()
				failed := len(s.services[0].Runs()) + len(s.engines[0].Runs())
				t.Logf("%d of %d served, %d runs failed", served.Load(), fastFailCalls, failed)
				require.Greater(t, served.Load(), int64(fastFailCalls*3/4))
				require.Less(t, failed, fastFailCalls/4)
			})
		}
	}
}
