package jsonlines_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/io/jsonlines"
)

// blockedWriter is a stream whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{
		open: make(chan struct{}),
	}
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(line)
}

// lines returns the decoded lines that were written.
func (s *blockedWriter) lines(t *testing.T) []map[string]any {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []map[string]any
	for scan := bufio.NewScanner(&s.buf); scan.Scan(); {
		var line map[string]any
		require.NoError(t, json.Unmarshal(scan.Bytes(), &line), scan.Text())
		all = append(all, line)
	}
	return all
}

func decisions(class waxwingpick.LogClass, id string) waxwingpick.Decisions {
	return waxwingpick.Decisions{
		LogClass: class,
		Instance: "entry-0",
		Request:  waxwingpick.RequestID(id),
		List: []waxwingpick.Decision{
			waxwingpick.ActionChoose.Of(time.UnixMilli(1_800_000_000_123).UTC(), "engine-3",
				waxwingpick.InMillis("reportAge", 80*time.Millisecond), waxwingpick.In("planRevision", 14)),
		},
	}
}

func TestDecisionsAreJSONLines(t *testing.T) {
	out := newBlockedWriter()
	close(out.open)
	l := jsonlines.New(out)
	l.Write(decisions(waxwingpick.LogClassKept, "a"))
	l.Logger().WithField("listen", "10.0.0.1:80").Info("entry serves")
	l.Close(t.Context())
	lines := out.lines(t)
	require.Len(t, lines, 2)
	require.Equal(t, map[string]any{
		"time":     "2027-01-15T08:00:00.123Z",
		"level":    "info",
		"msg":      "decision",
		"instance": "entry-0",
		"request":  "a",
		"action":   "choose",
		"outcome":  "engine-3",
		"inputs": map[string]any{
			"reportAgeMillis": 80.0,
			"planRevision":    14.0,
		},
	}, lines[0])
	require.Equal(t, "entry serves", lines[1]["msg"])
}

// TestWritersNeverBlock fills both classes of a log with a blocked stream from concurrent goroutines. No writer may block,
// the lines of failures must be written although the routine lines came first, and dropped lines must be counted and
// reported.
func TestWritersNeverBlock(t *testing.T) {
	const writers, each, failures = 8, 2000, 50
	out := newBlockedWriter()
	l := jsonlines.New(out, jsonlines.BufferSize(waxwingpick.LogClassRoutine, 64<<10), jsonlines.BufferSize(waxwingpick.LogClassKept, 64<<10))
	var wg conc.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				l.Write(decisions(waxwingpick.LogClassRoutine, fmt.Sprintf("routine-%d-%d", w, i)))
			}
		})
	}
	wg.Wait() // Returns while the stream is still blocked.
	for i := range failures {
		l.Write(decisions(waxwingpick.LogClassKept, fmt.Sprintf("failed-%d", i)))
	}
	require.Zero(t, l.Dropped(waxwingpick.LogClassKept))
	dropped := l.Dropped(waxwingpick.LogClassRoutine)
	require.Positive(t, dropped)
	close(out.open)
	l.Close(t.Context())
	kept, routine, reported := 0, 0, 0.0
	for _, line := range out.lines(t) {
		request, _ := line["request"].(string)
		switch {
		case line["msg"] == "log lines dropped since the start":
			reported = line["routine"].(float64)
		case len(request) > 6 && request[:6] == "failed":
			kept++
		default:
			routine++
		}
	}
	require.Equal(t, failures, kept)
	require.Equal(t, writers*each, routine+int(dropped))
	require.Equal(t, float64(dropped), reported)
}

// TestCloseReturnsOnBlockedStream checks that Close returns when its context ends, even if the stream is blocked.
func TestCloseReturnsOnBlockedStream(t *testing.T) {
	out := newBlockedWriter()
	defer close(out.open)
	l := jsonlines.New(out)
	l.Logger().Info("entry stopped")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.Close(ctx)
}
