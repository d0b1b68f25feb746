package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
	"waxwingpick/internal/standin/store"
	"waxwingpick/internal/standin/target"
)

const (
	// memoryMB is the memory of a small machine on the users' platform, which ends a process that exceeds it.
	memoryMB      = 284
	memoryCallers = 150
	memoryTime    = 6 * time.Second
	largeBytes    = 7_500_000
)

// memorySettings is the settings file of a gateway: its addresses, the memory and the store.
const memorySettings = `nodeName = "gateway"
zone = "zone"
ip = "%s"
internalPortRange = [%s, %[2]s]
heartbeatMs = 1000
[listen]
front = "%s"
ready = "%s"
[limits]
memoryMb = %d
maxFds = 4100
[bounds]
graceS = 8
drainMs = 2000
retryBudgetRatio = 0.2
budgetSlack = 58
budgetWindowS = 10
contactMs = 3000
[platform]
address = "%s"
`

// TestMemoryIsBoundedOverAllRequests starts a gateway as a process and has many requests at once hold as much memory as they can, while
// others are served. Each alone is within its bound, but the platform ends a process whose sum exceeds its memory.
func TestMemoryIsBoundedOverAllRequests(t *testing.T) {
	t.Parallel()
	piece := strings.Repeat("x", 16<<10)
	for name, tc := range map[string]struct {
		path  string
		flood *target.Flood
		// send sends one request and may leave its response unread; nil for a request that is read to its end.
		send func(t *testing.T, g *memoryGateway, id string)
	}{
		"bodies without end": {path: "/read/1", flood: &target.Flood{Piece: piece, Pause: 5 * time.Millisecond, Every: 5}},
		"chunks without end": {path: "/read/1", flood: &target.Flood{Fields: "Transfer-Encoding: chunked\r\n", Piece: "4000\r\n" + piece + "\r\n", Pause: 5 * time.Millisecond, Every: 5}},
		"long bodies":        {path: "/read/1", flood: &target.Flood{Fields: "Content-Length: 8000000\r\n", Piece: piece, Pause: 5 * time.Millisecond, Every: 5}},
		"events without end": {path: "/long/1", flood: &target.Flood{Fields: "Content-Type: text/event-stream\r\n", Piece: "data: " + piece + "\n", Pause: 5 * time.Millisecond, Every: 2}},
		"unread responses":   {path: "/read/1", flood: &target.Flood{Fields: fmt.Sprintf("Content-Length: %d\r\n", largeBytes), Piece: piece, Every: 2}, send: leaveUnread},
		"half-sent requests": {path: "/order/1", send: sendHalf},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startMemoryGateway(t, tc.flood)
			send := tc.send
			if send == nil {
				send = func(t *testing.T, g *memoryGateway, id string) { g.call(t, id, tc.path) }
			}
			ctx, cancel := context.WithTimeout(t.Context(), memoryTime)
			defer cancel()
			var callers conc.WaitGroup
			for i := range memoryCallers {
				callers.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						send(t, g, fmt.Sprintf("load-%d-%d", i, n))
					}
				})
			}
			for n := 0; ctx.Err() == nil; n++ {
				status, body := g.call(t, fmt.Sprint("sound-", n), "/sound/1")
				require.Equal(t, http.StatusOK, status, "%s", body)
				time.Sleep(10 * time.Millisecond)
			}
			callers.Wait()
			require.Less(t, g.peakMemoryMB(t), memoryMB)
			require.Nil(t, g.process.cmd.ProcessState, "the gateway has ended")
		})
	}
}

// memoryGateway is a gateway that runs as a process before stand-ins of the store and of targets.
type memoryGateway struct {
	process *proc
	callers string
	http    *http.Client
}

// startMemoryGateway starts a gateway with one service whose targets flood, and one whose target is sound.
func startMemoryGateway(t *testing.T, flood *target.Flood) *memoryGateway {
	st, err := store.New()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name":            name,
			"host":            "a.example",
			"pathPrefix":      "/" + name + "/",
			"kind":            kind,
			"timeoutMs":       60_000,
			"targetLatencyMs": 60_000,
			"service":         service,
			"maxAttempts":     2,
		}
	}
	require.NoError(t, st.Put(t.Context(), "op/config", map[string]any{
		"version":  1,
		"routes":   []any{route("read", "idempotent", "app"), route("order", "non_idempotent", "app"), route("long", "streaming", "app"), route("sound", "idempotent", "sound")},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "sound"}},
	}))
	for i, service := range []string{"app", "app", "sound"} {
		id := fmt.Sprint("target", i)
		one, err := target.New(id, "")
		require.NoError(t, err)
		t.Cleanup(one.Close)
		if service == "app" {
			one.SetFaults(target.Faults{
				Flood: flood,
			})
		}
		entry := one.ListRecord(service, "zone", "ready")
		entry["slots"] = 10_000
		require.NoError(t, st.Put(t.Context(), "servers/"+id, entry))
	}
	g := &memoryGateway{
		callers: freeAddr(t),
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: memoryCallers,
			},
		},
	}
	ready := freeAddr(t)
	_, port, err := net.SplitHostPort(freeAddr(t))
	require.NoError(t, err)
	settings := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, memorySettings, loopback.Host(), port, g.callers, ready, memoryMB, st.Addr()), 0o600))
	g.process = launch(t, "waxwingpickd", "gateway", "-settings", settings, "-logLevel", "error")
	require.Eventually(t, func() bool {
		resp, err := g.http.Get("http://" + ready + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, awaitTimeout, pollEvery)
	return g
}

// call sends a request and reads its response.
func (g *memoryGateway) call(t *testing.T, id, path string) (int, string) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.callers+path, strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("Waxwingpick-Request-Id", id)
	r.Header.Set("Waxwingpick-Deadline-Ms", "6000")
	resp, err := g.http.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// leaveUnread sends a request over a connection of its own and reads none of the response.
func leaveUnread(t *testing.T, g *memoryGateway, id string) {
	g.stall(t, "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nWaxwingpick-Request-Id: "+id+"\r\nWaxwingpick-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n")
}

// sendHalf sends half of a large request.
func sendHalf(t *testing.T, g *memoryGateway, id string) {
	head := fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: a.example\r\nWaxwingpick-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", id, largeBytes)
	g.stall(t, head+string(bytes.Repeat([]byte("x"), largeBytes/2)))
}

// stall opens a connection with a small receive buffer, sends bytes and keeps it for some seconds.
func (g *memoryGateway) stall(t *testing.T, raw string) {
	c, err := net.Dial("tcp", g.callers)
	if err != nil {
		return
	}
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	if _, err := io.WriteString(c, raw); err != nil {
		// The gateway may refuse the rest.
		return
	}
	select {
	case <-t.Context().Done():
	case <-time.After(memoryTime / 2):
	}
}

// peakMemoryMB returns the peak of the gateway's resident memory in megabytes.
func (g *memoryGateway) peakMemoryMB(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if peak, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(peak)[0])
			require.NoError(t, err)
			t.Logf("peak of resident memory: %d MB", kilobytes>>10)
			return kilobytes >> 10
		}
	}
	require.Fail(t, "no peak of resident memory")
	return 0
}
