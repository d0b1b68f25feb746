package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	standin "waxwingpick/internal/standin/engine"
)

func TestGenerateStreamsCompleteResponse(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		s := f.start(t, request("a", "who swapped", 40))
		f.clock.Advance(time.Second)
		text, err := read(s, -1)
		require.NoError(t, err)
		require.Equal(t, wantText("who swapped", 0, 40), text)
		_, err = s.Next()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, map[string]int{"a": 1}, f.engine.Record().Runs)
	})
}

func TestChatContinuesPartialResponse(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		messages := []standin.Message{{
			Role:    "user",
			Content: "verdict on batch 12",
		}}
		prompt := standin.ChatPrompt(messages)
		messages = append(messages, standin.Message{
			Role:    "assistant",
			Content: wantText(prompt, 0, 7),
		})
		body, err := json.Marshal(map[string]any{
			"messages":               messages,
			"continue_final_message": true,
			"max_tokens":             5,
			"stream":                 true,
		})
		require.NoError(t, err)
		s := f.start(t, waxwingpick.GenerateRequest{
			StreamID: "a",
			Path:     chat,
			Body:     body,
		})
		f.clock.Advance(time.Second)
		text, err := read(s, -1)
		require.NoError(t, err)
		require.Equal(t, wantText(prompt, 7, 12), text)
	})
}

func TestUrgencyOverridesPriorityInBody(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl, standin.MaxRunning(1))
		// Each body sets priority -1, which the urgency of the request must override.
		for i, urgency := range []int{0, 7, 1} {
			req := request(strconv.Itoa(i), "prompt "+strconv.Itoa(i), 2)
			req.Urgency = urgency
			f.start(t, req)
		}
		f.clock.Advance(2 * tokenTime)
		require.Equal(t, map[string]int{"0": 1, "2": 1}, f.runCounts())
	})
}

// TestFaults starts a request under a fault, reads the response after the clock has advanced, and then resumes it.
func TestFaults(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		const tokens = 6
		tests := []struct {
			name string
			// before injects a fault before the request is sent, and during injects one after the stream is open.
			before func(f fixture)
			during func(f fixture)
			prompt string
			open   error
			read   error
			events int
			runs   int
			// resumes reports whether the engine can resume the stream after the fault.
			resumes bool
		}{
			{name: "down", before: func(f fixture) { f.engine.Down(0) }, open: waxwingpick.ErrEngineUnreachable},
			{name: "down and up again", before: func(f fixture) { f.engine.Down(0); f.engine.Up() }, events: tokens, runs: 1, resumes: true},
			{name: "request lost", before: func(f fixture) { f.engine.LoseRequests(completions, 1) }, open: waxwingpick.ErrEngineLost},
			{name: "response lost", before: func(f fixture) { f.engine.LoseResponses(completions, 1) }, open: waxwingpick.ErrEngineLost, runs: 1, resumes: true},
			{name: "cancelled before the request", before: func(f fixture) { _ = f.client.Cancel(context.Background(), "a") }, open: waxwingpick.ErrEngineRefused},
			{name: "order running", before: func(f fixture) { f.submitOrder(9) }, open: waxwingpick.ErrEngineRefused},
			{name: "cut", before: func(f fixture) { f.truncate(3, false) }, read: waxwingpick.ErrEngineLost, events: 3, runs: 1, resumes: true},
			{name: "cut with a regular end of the body", before: func(f fixture) { f.truncate(3, true) }, read: waxwingpick.ErrEngineLost, events: 3, runs: 1, resumes: true},
			{name: "only the last event cut", before: func(f fixture) { f.truncate(tokens, true) }, read: waxwingpick.ErrEngineLost, events: tokens, runs: 1, resumes: true},
			{name: "connection lost", during: func(f fixture) { f.engine.Down(0); f.engine.Up() }, read: waxwingpick.ErrEngineLost, runs: 1, resumes: true},
			{name: "crash", during: func(f fixture) { f.engine.Crash() }, read: waxwingpick.ErrEngineLost, runs: 1},
			{name: "crash by the request", prompt: standin.DefaultCrashMarker, read: waxwingpick.ErrEngineLost, runs: 1},
			{name: "order", during: func(f fixture) { f.submitOrder(9) }, read: waxwingpick.ErrEngineLost, runs: 1},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				f := newFixture(t, impl)
				prompt := "prompt " + test.prompt
				_, err := f.client.State(t.Context())
				require.NoError(t, err)
				if test.before != nil {
					test.before(f)
				}
				s, err := f.client.Generate(t.Context(), request("a", prompt, tokens))
				require.ErrorIs(t, err, test.open)
				if err == nil {
					defer s.Close()
					if test.during != nil {
						test.during(f)
					}
					f.clock.Advance(time.Second)
					text, err := read(s, -1)
					require.ErrorIs(t, err, test.read)
					require.Equal(t, wantText(prompt, 0, tokens)[:len(text)], text)
					require.Equal(t, test.events, standin.CountTokens(text))
				}
				f.engine.Up()
				f.clock.Advance(time.Second)
				require.Equal(t, test.runs, f.engine.Record().Runs["a"])
				rest, err := f.client.Resume(t.Context(), "a", int64(test.events))
				if !test.resumes {
					require.ErrorIs(t, err, waxwingpick.ErrStreamNotFound)
					return
				}
				require.NoError(t, err)
				defer rest.Close()
				text, err := read(rest, -1)
				require.NoError(t, err)
				require.Equal(t, strings.Join(standin.ResponseTokens(prompt, tokens)[test.events:], ""), text)
			})
		}
	})
}

func TestCancelEndsStreamAndFreesMemory(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		s := f.start(t, request("a/b?c", "prompt", 50))
		f.clock.Advance(3 * tokenTime)
		_, err := read(s, 3)
		require.NoError(t, err)
		load, err := f.client.Load(t.Context())
		require.NoError(t, err)
		require.Positive(t, load.KVBlocksUsed)
		require.NoError(t, f.client.Cancel(t.Context(), "a/b?c"))
		require.NoError(t, f.client.Cancel(t.Context(), "unknown"))
		_, err = s.Next()
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
		load, err = f.client.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, load.KVBlocksUsed)
		require.Equal(t, 1, f.engine.Record().Cancelled)
	})
}

func TestGivenUpStreamFailsItsReader(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, err := f.client.Generate(ctx, request("a", "prompt", 50))
		require.NoError(t, err)
		defer s.Close()
		cancel()
		_, err = s.Next()
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
	})
}

func TestCloseEndsWaitingNext(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		f := newFixture(t, impl)
		s := f.start(t, request("a", "prompt", 50))
		done := make(chan error)
		go func() {
			_, err := s.Next()
			done <- err
		}()
		require.NoError(t, s.Close())
		require.Error(t, <-done)
		_, err := s.Next()
		require.Error(t, err)
	})
}

func TestReadersOfOneClientNeverMix(t *testing.T) {
	testImplementations(t, func(t *testing.T, impl implementation) {
		e, err := standin.New()
		require.NoError(t, err)
		t.Cleanup(e.Close)
		c := impl.make(t, e)
		const readers, rounds = 8, 20
		errs := make(chan error, readers)
		for r := range readers {
			go func() {
				for i := range rounds {
					id := strconv.Itoa(r) + "-" + strconv.Itoa(i)
					s, err := c.Generate(t.Context(), request(id, "prompt of "+id, 20))
					if err != nil {
						errs <- err
						return
					}
					// Every second stream is closed before its end.
					n := -1
					if i%2 == 1 {
						n = 7
					}
					text, err := read(s, n)
					s.Close()
					if err == nil && text != wantText("prompt of "+id, 0, 20)[:len(text)] {
						err = errors.New("text of another request")
					}
					if err != nil {
						errs <- err
						return
					}
				}
				errs <- nil
			}()
		}
		for range readers {
			require.NoError(t, <-errs)
		}
	})
}
