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

func TestGenerateStreamsTheWholeAnswer(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		f := newFixture(t, sys)
		s := f.start(t, request("a", "who swapped", 40))
		f.clock.Advance(time.Second)
		text, err := read(s, -1)
		require.NoError(t, err)
		require.Equal(t, answer("who swapped", 0, 40), text)
		_, err = s.Next()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, map[string]int{"a": 1}, f.engine.Record().Runs)
	})
}

func TestChatContinuesAPartialAnswer(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		f := newFixture(t, sys)
		messages := []standin.Message{{
			Role:    "user",
			Content: "verdict on batch 12",
		}}
		prompt := standin.ChatPrompt(messages)
		messages = append(messages, standin.Message{
			Role:    "assistant",
			Content: answer(prompt, 0, 7),
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
		require.Equal(t, answer(prompt, 7, 12), text)
	})
}

func TestUrgencyDecidesAndTheCallerCannotRaiseIt(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		f := newFixture(t, sys, standin.MaxRunning(1))
		// Each body asks for priority -1; only the sender's urgency counts.
		for i, urgency := range []int{0, 7, 1} {
			req := request(strconv.Itoa(i), "prompt "+strconv.Itoa(i), 2)
			req.Urgency = urgency
			f.start(t, req)
		}
		f.clock.Advance(2 * tokenTime)
		require.Equal(t, map[string]int{"0": 1, "2": 1}, f.started())
	})
}

// TestFaults starts a request under a fault and reads it after the clock was advanced.
func TestFaults(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		const tokens = 6
		tests := []struct {
			name string
			// before sets the fault; during runs after the stream was opened.
			before func(f fixture)
			during func(f fixture)
			prompt string
			open   error
			read   error
			events int
			runs   int
			// resumes says that the engine still has the rest.
			resumes bool
		}{
			{name: "down", before: func(f fixture) { f.engine.Down(0) }, open: waxwingpick.ErrEngineUnreachable},
			{name: "down and up again", before: func(f fixture) { f.engine.Down(0); f.engine.Up() }, events: tokens, runs: 1, resumes: true},
			{name: "request lost", before: func(f fixture) { f.engine.LoseRequests(completions, 1) }, open: waxwingpick.ErrEngineLost},
			{name: "answer lost", before: func(f fixture) { f.engine.LoseAnswers(completions, 1) }, open: waxwingpick.ErrEngineLost, runs: 1, resumes: true},
			{name: "cancelled before it came", before: func(f fixture) { _ = f.client.Cancel(context.Background(), "a") }, open: waxwingpick.ErrEngineRefused},
			{name: "order running", before: func(f fixture) { f.order(9) }, open: waxwingpick.ErrEngineRefused},
			{name: "cut", before: func(f fixture) { f.cut(3, false) }, read: waxwingpick.ErrEngineLost, events: 3, runs: 1, resumes: true},
			{name: "cut that looks like the end", before: func(f fixture) { f.cut(3, true) }, read: waxwingpick.ErrEngineLost, events: 3, runs: 1, resumes: true},
			{name: "only the last event cut", before: func(f fixture) { f.cut(tokens, true) }, read: waxwingpick.ErrEngineLost, events: tokens, runs: 1, resumes: true},
			{name: "connection lost", during: func(f fixture) { f.engine.Down(0); f.engine.Up() }, read: waxwingpick.ErrEngineLost, runs: 1, resumes: true},
			{name: "crash", during: func(f fixture) { f.engine.Crash() }, read: waxwingpick.ErrEngineLost, runs: 1},
			{name: "crash by the request", prompt: standin.DefaultCrashMarker, read: waxwingpick.ErrEngineLost, runs: 1},
			{name: "order", during: func(f fixture) { f.order(9) }, read: waxwingpick.ErrEngineLost, runs: 1},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				f := newFixture(t, sys)
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
					require.Equal(t, answer(prompt, 0, tokens)[:len(text)], text)
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
				require.Equal(t, strings.Join(standin.Answer(prompt, tokens)[test.events:], ""), text)
			})
		}
	})
}

func TestCancelEndsAStreamAndFreesItsMemory(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		f := newFixture(t, sys)
		s := f.start(t, request("a/b?c", "prompt", 50))
		f.clock.Advance(3 * tokenTime)
		_, err := read(s, 3)
		require.NoError(t, err)
		load, err := f.client.Load(t.Context())
		require.NoError(t, err)
		require.Positive(t, load.PiecesUsed)
		require.NoError(t, f.client.Cancel(t.Context(), "a/b?c"))
		require.NoError(t, f.client.Cancel(t.Context(), "unknown"))
		_, err = s.Next()
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
		load, err = f.client.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, load.PiecesUsed)
		require.Equal(t, 1, f.engine.Record().Cancelled)
	})
}

func TestGivenUpStreamFailsItsReader(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		f := newFixture(t, sys)
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

func TestCloseEndsAWaitingReader(t *testing.T) {
	contract(t, func(t *testing.T, sys system) {
		f := newFixture(t, sys)
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
	contract(t, func(t *testing.T, sys system) {
		e, err := standin.New()
		require.NoError(t, err)
		t.Cleanup(e.Close)
		c := sys.make(t, e)
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
					// Every other reader leaves half way.
					n := -1
					if i%2 == 1 {
						n = 7
					}
					text, err := read(s, n)
					s.Close()
					if err == nil && text != answer("prompt of "+id, 0, 20)[:len(text)] {
						err = errors.New("foreign answer")
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
