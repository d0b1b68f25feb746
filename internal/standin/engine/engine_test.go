package engine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/standin/engine"
)

func start(t *testing.T, opts ...engine.Option) *engine.Engine {
	t.Helper()
	e, err := engine.New(opts...)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return e
}

func post(t *testing.T, e *engine.Engine, path, body string) *http.Response {
	t.Helper()
	resp, err := http.Post("http://"+e.Addr()+path, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestCompletionStreamsTheResponse(t *testing.T) {
	e := start(t)
	resp := post(t, e, "/v1/completions", `{"model":"standin","prompt":"who swapped salsa","max_tokens":5,"stream":true}`)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var text strings.Builder
	scan := bufio.NewScanner(resp.Body)
	done := false
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		text.WriteString(c.Choices[0].Text)
	}
	require.NoError(t, scan.Err())
	require.True(t, done)
	require.Equal(t, strings.Join(engine.ResponseTokens("who swapped salsa", 5), ""), text.String())
}

func TestContinuationCompletesTheSameResponse(t *testing.T) {
	e := start(t)
	full := engine.ResponseTokens("user: roster\n", 6)
	chat, err := json.Marshal(map[string]any{
		"messages": []engine.Message{
			{Role: "user", Content: "roster"},
			{Role: "assistant", Content: strings.Join(full[:2], "")},
		},
		"continue_final_message": true,
		"max_tokens":             4,
	})
	require.NoError(t, err)
	resp := post(t, e, "/v1/chat/completions", string(chat))
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	require.NoError(t, err)
	require.Contains(t, body.String(), strings.Join(full[2:], ""))
	text := engine.ResponseTokens("batch 7 verdict", 6)
	prompt := "batch 7 verdict" + strings.Join(text[:3], "")
	resp = post(t, e, "/v1/completions", fmt.Sprintf(`{"prompt":%q,"max_tokens":3}`, prompt))
	body.Reset()
	_, err = body.ReadFrom(resp.Body)
	require.NoError(t, err)
	require.Contains(t, body.String(), strings.Join(text[3:], ""))
}

func TestCrashChangesTheBootID(t *testing.T) {
	e := start(t, engine.RestartTime(time.Millisecond))
	before := e.State().BootID
	body := `{"prompt":"x [[crash]] y","stream":true}`
	resp, err := http.Post("http://"+e.Addr()+"/v1/completions", "application/json", strings.NewReader(body))
	if err == nil {
		_, err = bufio.NewReader(resp.Body).ReadString(0)
		resp.Body.Close()
	}
	require.Error(t, err)
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + e.Addr() + "/admin/state")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	}, 10*time.Second, time.Millisecond)
	require.NotEqual(t, before, e.State().BootID)
	require.Equal(t, 1, e.Record().Crashes)
}
