package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"waxwingpick"
)

const fuzzMaxEvent = 4096

// memoryBody is a response body in memory.
type memoryBody struct {
	reader io.Reader
}

func (m memoryBody) Stream() io.Reader { return m.reader }

func (memoryBody) Interrupt() {}

func (memoryBody) Close() {}

func (memoryBody) SetReadTimeout(time.Duration) {}

func readAll(raw []byte) (events []waxwingpick.StreamEvent, err error) {
	s := newEventStream(memoryBody{reader: bytes.NewReader(raw)}, 0, fuzzMaxEvent)
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// FuzzEvents reads arbitrary response bodies. The stream must return consecutive events up to the last event, or fail
// with an error; it must never end early without one.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 0\ndata: {}\n\nid: 1\ndata: [DONE]\n\n",
		"data: {}\n\ndata: [DONE]\n\n",
		"id: 1\ndata: {}\n\n",
		"id: x\ndata: {}\n\n",
		"data: {\"error\":{\"message\":\"no\"}}\n\ndata: [DONE]\n\n",
		"data: \"error\n\n",
		"data\n\n",
		": ping\n\ndata: {}",
		"\xef\xbb\xbfdata: [DONE]\r\r",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		events, err := readAll(raw)
		for i, e := range events {
			if e.Offset != int64(i) {
				t.Fatalf("event %d has offset %d", i, e.Offset)
			}
			if e.Last != (len(e.Data) == 0) || e.Last && i != len(events)-1 {
				t.Fatalf("event %d: last %t with %d bytes", i, e.Last, len(e.Data))
			}
			if len(e.Data) > fuzzMaxEvent {
				t.Fatalf("event of %d bytes", len(e.Data))
			}
		}
		complete := len(events) > 0 && events[len(events)-1].Last
		if complete != errors.Is(err, io.EOF) || complete == errors.Is(err, waxwingpick.ErrEngineLost) {
			t.Fatalf("complete %t ended with %v", complete, err)
		}
		if complete && !bytes.Contains(raw, []byte(doneData)) {
			t.Fatal("complete without a last event")
		}
	})
}

// FuzzCutAnswer truncates a valid response at any byte. The events before that byte must be unchanged.
func FuzzCutAnswer(f *testing.F) {
	f.Add("one|two|three", uint(20))
	f.Add(`{"text":"error"}`, uint(0))
	f.Add("a", uint(1000))
	f.Fuzz(func(t *testing.T, text string, cut uint) {
		var want []string
		for part := range strings.SplitSeq(text, "|") {
			// Chunks are JSON, so they contain no line breaks.
			chunk, err := json.Marshal(part)
			require.NoError(t, err)
			if len(chunk) < fuzzMaxEvent/2 {
				want = append(want, string(chunk))
			}
		}
		var raw bytes.Buffer
		for i, data := range append(want, doneData) {
			m := sse.Message{
				ID: sse.ID(strconv.Itoa(i)),
			}
			m.AppendData(data)
			_, err := m.WriteTo(&raw)
			require.NoError(t, err)
		}
		at := min(int(cut%uint(raw.Len()+1)), raw.Len())
		events, err := readAll(raw.Bytes()[:at])
		for i, e := range events {
			if !e.Last && string(e.Data) != want[i] {
				t.Fatalf("event %d is %q and not %q", i, e.Data, want[i])
			}
		}
		if (at == raw.Len()) != errors.Is(err, io.EOF) {
			t.Fatalf("cut at %d of %d: %v", at, raw.Len(), err)
		}
	})
}

// FuzzFields adds the client's fields to arbitrary bodies. An object must keep its other fields, and the urgency of the
// request must override the priority in the body.
func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"prompt":"x","priority":-9}`), 3)
	f.Add([]byte(` { } `), 0)
	f.Add([]byte(`{"a":"}"}`), 7)
	f.Add([]byte(`[]`), 1)
	f.Add([]byte(`{"a":1,}`), 1)
	f.Fuzz(func(t *testing.T, raw []byte, urgency int) {
		got, err := withAddedFields(waxwingpick.GenerateRequest{
			Body:     raw,
			Urgency:  urgency,
			KVHandle: "h",
		})
		var before, after map[string]json.RawMessage
		if json.Unmarshal(raw, &before) != nil || before == nil {
			// An invalid body must not become valid.
			require.False(t, err == nil && json.Valid(got))
			return
		}
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(got, &after))
		require.Equal(t, strconv.Itoa(urgency), string(after["priority"]))
		require.Equal(t, `"h"`, string(after["kv_handle"]))
		for name, value := range before {
			if name != "priority" && name != "kv_handle" {
				require.Equal(t, string(value), string(after[name]))
			}
		}
	})
}
