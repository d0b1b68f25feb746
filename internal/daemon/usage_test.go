package daemon_test

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
	"waxwingpick/internal/standin/cloud"
	"waxwingpick/internal/standin/store"
	"waxwingpick/internal/standin/target"
)

// usageSettings are the settings of a gateway that reports usage in windows of a second.
const usageSettings = `nodeName = "%s"
zone = "zone"
ip = "%s"
internalPortRange = [%s, %[3]s]
heartbeatMs = 1000
[listen]
front = "%s"
ready = "%s"
[limits]
memoryMb = 256
maxFds = 4100
[bounds]
graceS = 8
drainMs = 2000
retryBudgetRatio = 0.2
budgetSlack = 58
budgetWindowS = 10
contactMs = 3000
leaseMs = 3000
thawMs = 300
usageWindowS = 2
usageLateS = 20
[platform]
address = "%s"
[cloud]
address = "%s"
dutyPerS = 50
duties = ["usage", "scale"]
`

// usageFleet is a number of gateways as processes before stand-ins, whose callers have the keys "Kacme" and "Kother".
type usageFleet struct {
	t       *testing.T
	store   *store.Server
	cloud   *cloud.Cloud
	target  *target.Target
	names   []string
	procs   map[string]*proc
	callers map[string]string
}

func startUsageFleet(t *testing.T, names ...string) *usageFleet {
	f := &usageFleet{
		t:       t,
		names:   names,
		procs:   make(map[string]*proc),
		callers: make(map[string]string),
	}
	var err error
	f.store, err = store.New()
	require.NoError(t, err)
	t.Cleanup(f.store.Close)
	f.cloud, err = cloud.New()
	require.NoError(t, err)
	t.Cleanup(f.cloud.Close)
	f.target, err = target.New("app0", "")
	require.NoError(t, err)
	t.Cleanup(f.target.Close)
	require.NoError(t, f.store.Put(t.Context(), "servers/app0", f.target.ListRecord("app", "zone", "ready")))
	require.NoError(t, f.store.Put(t.Context(), "op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "order", "host": "a.example", "pathPrefix": "/order/", "kind": "non_idempotent", "timeoutMs": 60_000,
			"targetLatencyMs": 60_000, "service": "app", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "app"}},
		"tenants": []any{
			map[string]any{"name": "acme", "apiKeys": []string{"Kacme"}},
			map[string]any{"name": "other", "apiKeys": []string{"Kother"}},
		},
	}))
	for _, name := range names {
		f.start(name)
	}
	return f
}

func (f *usageFleet) start(name string) {
	t := f.t
	f.callers[name] = freeAddr(t)
	ready := freeAddr(t)
	_, port, err := net.SplitHostPort(freeAddr(t))
	require.NoError(t, err)
	settings := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, usageSettings, name, loopback.Host(), port, f.callers[name], ready, f.store.Addr(), f.cloud.Addr()), 0o600))
	f.procs[name] = launch(t, "waxwingpickd", "gateway", "-settings", settings)
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + ready + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, awaitTimeout, pollEvery)
}

// order sends an order of a workspace to a gateway.
func (f *usageFleet) order(gateway, id, workspace string) int {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.callers[gateway]+"/order/1", nil)
	require.NoError(f.t, err)
	r.Host = "a.example"
	r.Header.Set("Waxwingpick-Request-Id", id)
	r.Header.Set("Waxwingpick-Deadline-Ms", "30000")
	r.Header.Set("Authorization", "Bearer K"+workspace)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// accepted returns the counts of all accepted windows, and fails if two accepted reports of a window differ, or tokens of holders go
// back or are shared.
func (f *usageFleet) accepted() map[string]int64 {
	windows := make(map[int64]map[string]int64)
	total := make(map[string]int64)
	holders := make(map[int64]string)
	last := int64(0)
	for _, r := range f.cloud.Reports() {
		require.GreaterOrEqual(f.t, r.Token, last, "a lower token after a higher one")
		last = r.Token
		if holder, ok := holders[r.Token]; ok {
			require.Equal(f.t, holder, r.Holder, "two holders with one token")
		}
		holders[r.Token] = r.Holder
		if !r.Accepted {
			continue
		}
		if earlier, ok := windows[r.Window]; ok {
			require.True(f.t, maps.Equal(earlier, r.Counts), "two reports for window %d: %v and %v", r.Window, earlier, r.Counts)
			continue
		}
		windows[r.Window] = r.Counts
		for ws, n := range r.Counts {
			total[ws] += n
		}
	}
	return total
}

// TestUsageIsReportedOnceUnderLostAnswers counts orders at two gateways while the platform loses answers, throttles and fails. It guards
// against counts that are lost, told twice, or told differently in a repeated report.
func TestUsageIsReportedOnceUnderLostAnswers(t *testing.T) {
	t.Parallel()
	f := startUsageFleet(t, "one", "two")
	f.cloud.LoseResponses("/usage", 3)
	want := map[string]int64{"acme": 0, "other": 0}
	for i := range 60 {
		workspace := []string{"acme", "other", "acme"}[i%3]
		require.Equal(t, http.StatusOK, f.order(f.names[i%2], fmt.Sprint("order", i), workspace))
		want[workspace]++
		if i == 30 {
			f.cloud.Refuse(http.StatusTooManyRequests)
			time.AfterFunc(2*time.Second, func() { f.cloud.Refuse(0) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return maps.Equal(want, f.accepted()) }, awaitTimeout, 50*time.Millisecond)
}

// TestHolderThatIsKilledBetweenSettlingAndSending kills the holder when its report is at the platform, before the response. It guards
// against another holder that reports the window with other counts, or with a token that does not rise.
func TestHolderThatIsKilledBetweenSettlingAndSending(t *testing.T) {
	t.Parallel()
	f := startUsageFleet(t, "one", "two")
	f.cloud.CheckFencing()
	var killed atomic.Pointer[cloud.Report]
	f.cloud.OnReport(func(r cloud.Report) {
		if len(r.Counts) > 0 && killed.CompareAndSwap(nil, &r) {
			_ = f.procs[r.Holder].cmd.Process.Signal(syscall.SIGKILL)
		}
	})
	want := map[string]int64{"acme": 10}
	for i := range 10 {
		require.Equal(t, http.StatusOK, f.order(f.names[i%2], fmt.Sprint("order", i), "acme"))
	}
	require.Eventually(t, func() bool { return killed.Load() != nil }, awaitTimeout, pollEvery)
	first := *killed.Load()
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(f.cloud.Reports(), func(r cloud.Report) bool {
			return r.Window == first.Window && r.Holder != first.Holder && r.Accepted
		})
	}, awaitTimeout, pollEvery, "the window was not reported again")
	// The orders may have begun in two windows.
	require.Eventually(t, func() bool { return maps.Equal(want, f.accepted()) }, awaitTimeout, pollEvery)
}
