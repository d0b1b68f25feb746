package openai_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/io/openai"
)

const maxBody = 4096

// backend responds with chunks and then the error end, or fails every request with refuse.
type backend struct {
	refuse      error
	chunks      []string
	end         error
	call        openai.ModelCall
	serviceCall openai.ServiceCall
}

func (b *backend) Generate(_ context.Context, call openai.ModelCall) (openai.ChunkStream, error) {
	b.call = call
	if b.refuse != nil {
		return nil, b.refuse
	}
	return &responseStream{
		chunks: b.chunks,
		end:    b.end,
	}, nil
}

func (b *backend) Call(_ context.Context, call openai.ServiceCall) (waxwingpick.CallResponse, error) {
	b.serviceCall = call
	if b.refuse != nil {
		return waxwingpick.CallResponse{}, b.refuse
	}
	return waxwingpick.CallResponse{
		Status: http.StatusCreated,
		Headers: []waxwingpick.Header{{
			Name:  "Location",
			Value: "/bookings/1",
		}},
		Body: call.Request.Body,
	}, nil
}

func (b *backend) Models() []string { return []string{"m"} }

func (b *backend) Ready() error { return b.refuse }

type responseStream struct {
	chunks []string
	end    error
}

func (a *responseStream) Next() (openai.Chunk, error) {
	if len(a.chunks) == 0 {
		return openai.Chunk{}, a.end
	}
	data := a.chunks[0]
	a.chunks = a.chunks[1:]
	return openai.ParseChunk([]byte(data))
}

func (a *responseStream) Close() {}

func start(t *testing.T, b *backend) string {
	t.Helper()
	timers := timer.NewSystem()
	t.Cleanup(timers.Close)
	return startWith(t, b, timers)
}

func startWith(t *testing.T, b openai.Backend, timers waxwingpick.Timers) string {
	t.Helper()
	s := openai.NewServer(b, timers, maxBody, nil)
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		require.NoError(t, s.Shutdown(ctx))
	})
	return "http://" + addr
}

func post(t *testing.T, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(data)
}

const requestTemplate = `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":%STREAM%,"x_extra":{"kept":true}}`

func requestBody(stream string) string {
	return strings.ReplaceAll(requestTemplate, "%STREAM%", stream)
}

func chunks() []string {
	return []string{
		`{"choices":[{"index":0,"delta":{"role":"assistant","content":"a"},"finish_reason":null}]}`,
		`{"choices":[{"index":0,"delta":{"content":"b","tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{"}}]},"finish_reason":null}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`,
	}
}

func TestInvalidRequestsAreRejectedWithField(t *testing.T) {
	cases := []struct {
		name, path, body, field string
		status                  int
	}{
		{"no JSON", openai.ChatPath, "hi", "", 400},
		{"no model", openai.ChatPath, `{"messages":[]}`, "model", 400},
		{"model of another type", openai.ChatPath, `{"model":1}`, "model", 400},
		{"no messages", openai.ChatPath, `{"model":"m"}`, "messages", 400},
		{"messages of another type", openai.ChatPath, `{"model":"m","messages":"hi"}`, "messages", 400},
		{"several choices", openai.ChatPath, `{"model":"m","n":2,"messages":[{}]}`, "n", 400},
		{"negative limit", openai.ChatPath, `{"model":"m","max_tokens":-1,"messages":[{}]}`, "max_tokens", 400},
		{"stream of another type", openai.ChatPath, `{"model":"m","stream":"yes","messages":[{}]}`, "stream", 400},
		{"prompt of another type", openai.CompletionsPath, `{"model":"m","prompt":7}`, "prompt", 400},
		{"body too large", openai.ChatPath, strings.Repeat("x", maxBody+1), "", 413},
		{"no such path", "/v1/none", "", "", 404},
	}
	b := &backend{}
	url := start(t, b)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			resp, body := post(t, url+tc.path, tc.body)
			require.Equal(t, tc.status, resp.StatusCode)
			require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"))
			var p openai.Problem
			require.NoError(t, json.Unmarshal([]byte(body), &p))
			require.Equal(t, tc.field, p.Field)
			require.Equal(t, waxwingpick.OutcomeNotRun, p.Outcome)
		})
	}
	require.Zero(t, b.call)
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	// A model request may always be repeated. Only the caller can decide whether to repeat a call that may have run.
	cases := []struct {
		refusal           *waxwingpick.Refusal
		status            int
		modelRetry, retry string
	}{
		{waxwingpick.NotRun(waxwingpick.ReasonOverload, 1200*time.Millisecond, ""), 503, "2", "2"},
		{waxwingpick.NotRun(waxwingpick.ReasonRateLimit, time.Second, ""), 429, "1", "1"},
		{waxwingpick.NotRun(waxwingpick.ReasonCrashSuspect, 0, ""), 422, "", ""},
		{waxwingpick.NotRun(waxwingpick.ReasonKeyReuse, 0, ""), 422, "", ""},
		{waxwingpick.NotRun(waxwingpick.ReasonWrongModel, 0, ""), 404, "", ""},
		{waxwingpick.Unknown(waxwingpick.ReasonTargetLost, ""), 502, "1", ""},
		{waxwingpick.Unknown(waxwingpick.ReasonUnstatedRefusal, ""), 502, "1", ""},
	}
	for _, tc := range cases {
		t.Run(string(tc.refusal.Reason), func(t *testing.T) {
			url := start(t, &backend{
				refuse: tc.refusal,
			})
			retries := map[string]string{
				openai.ChatPath:          tc.modelRetry,
				"/services/app/bookings": tc.retry,
			}
			for path, want := range retries {
				resp, body := post(t, url+path, requestBody("true"))
				require.Equal(t, tc.status, resp.StatusCode)
				require.Equal(t, want, resp.Header.Get("Retry-After"))
				var p openai.Problem
				require.NoError(t, json.Unmarshal([]byte(body), &p))
				require.Equal(t, tc.refusal.Outcome, p.Outcome)
			}
		})
	}
}

func TestOnlyCompleteStreamEndsWithDone(t *testing.T) {
	ends := []struct {
		name string
		end  error
		done bool
	}{
		{"whole", io.EOF, true},
		{"lost", waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "gone"), false},
		{"other error", errors.New("odd"), false},
	}
	for _, tc := range ends {
		t.Run(tc.name, func(t *testing.T) {
			url := start(t, &backend{
				chunks: chunks(),
				end:    tc.end,
			})
			resp, body := post(t, url+openai.ChatPath, requestBody("true"))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, tc.done, strings.HasSuffix(body, "data: [DONE]\n\n"))
			require.Equal(t, !tc.done, strings.Contains(body, "event: error\ndata: "))
		})
	}
}

func TestStreamIncludesUsageOnlyIfRequested(t *testing.T) {
	url := start(t, &backend{
		chunks: append(chunks(), `{"choices":[],"usage":{"completion_tokens":2}}`),
		end:    io.EOF,
	})
	_, body := post(t, url+openai.ChatPath, requestBody("true"))
	require.NotContains(t, body, "usage")
	require.Equal(t, 4, strings.Count(body, "data: "))
	_, body = post(t, url+openai.ChatPath, requestBody(`true,"stream_options":{"include_usage":true}`))
	require.Equal(t, 2, strings.Count(body, "usage"))
	require.Equal(t, 5, strings.Count(body, "data: "))
}

func TestCompleteResponseJoinsChunks(t *testing.T) {
	b := &backend{
		chunks: chunks(),
		end:    io.EOF,
	}
	url := start(t, b)
	_, body := post(t, url+openai.ChatPath, requestBody("false"))
	require.JSONEq(t, `{"id":"","object":"chat.completion","created":0,"model":"","usage":{"completion_tokens":2},
		"choices":[{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":"ab",
		"tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{}"}}]}}]}`, body)
	sent, err := b.call.Request.EngineBody(openai.Delivered{})
	require.NoError(t, err)
	require.Contains(t, string(sent), `"x_extra":{"kept":true}`)
}

func TestContinuationStartsAfterDeliveredText(t *testing.T) {
	chat, err := openai.ParseRequest(openai.ChatPath, []byte(`{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"q"}]}`))
	require.NoError(t, err)
	body, err := chat.EngineBody(openai.Delivered{
		Text:   "abc",
		Tokens: 4,
	})
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","max_tokens":6,"stream":true,"stream_options":{"include_usage":true},
		"messages":[{"role":"user","content":"q"},{"role":"assistant","content":"abc"}],
		"continue_final_message":true,"add_generation_prompt":false}`, string(body))
	require.True(t, chat.Exhausted(openai.Delivered{
		Tokens: 10,
	}))
	plain, err := openai.ParseRequest(openai.CompletionsPath, []byte(`{"model":"m","prompt":"q"}`))
	require.NoError(t, err)
	body, err = plain.EngineBody(openai.Delivered{
		Text:   "abc",
		Tokens: 4,
	})
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","prompt":"qabc","stream":true,"stream_options":{"include_usage":true}}`, string(body))
}

func TestHeadersReachTheBackend(t *testing.T) {
	b := &backend{}
	url := start(t, b)
	resp, body := post(t, url+"/services/app/bookings?day=2", `{"a":1}`,
		"Idempotency-Key", "k", "OpenAI-Project", "studio", "Prefer", "wait=3", "Priority", "u=1", "Traceparent", "00-1",
		"X-Request-Id", "their-own")
	require.Equal(t, http.StatusCreated, resp.StatusCode)
	require.Equal(t, "/bookings/1", resp.Header.Get("Location"))
	require.Equal(t, `{"a":1}`, body)
	require.NotEmpty(t, b.serviceCall.Caller.RequestID)
	require.Equal(t, []string{string(b.serviceCall.Caller.RequestID)}, resp.Header.Values("X-Request-Id"))
	require.Equal(t, openai.Caller{
		RequestID:       b.serviceCall.Caller.RequestID,
		CallerRequestID: "their-own",
		Workspace:       "studio",
		IdempotencyKey:  "k",
		Prefer:          "wait=3",
		Priority:        "u=1",
		Traceparent:     "00-1",
	}, b.serviceCall.Caller)
	require.Equal(t, "/bookings?day=2", b.serviceCall.Request.Path)
	resp, _ = post(t, url+"/services/app/bookings", "", "Idempotency-Key", strings.Repeat("k", 256))
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("X-Request-Id"))
}

func FuzzParseRequest(f *testing.F) {
	f.Add(openai.ChatPath, []byte(requestBody("true")))
	f.Add(openai.CompletionsPath, []byte(`{"model":"m","prompt":"q"}`))
	f.Add(openai.ChatPath, []byte(`{"model":"m","messages":[{"content":[{"type":"text","text":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		r, err := openai.ParseRequest(path, body)
		if err != nil {
			return
		}
		sent, err := r.EngineBody(openai.Delivered{
			Text:   "x",
			Tokens: 1,
		})
		require.NoError(t, err)
		require.True(t, json.Valid(sent))
	})
}

func FuzzParseChunk(f *testing.F) {
	for _, c := range chunks() {
		f.Add([]byte(c))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		c, err := openai.ParseChunk(data)
		if err != nil {
			return
		}
		var assembler openai.Assembler
		assembler.Add(c)
		_, _ = assembler.Response(openai.ChatPath)
	})
}
