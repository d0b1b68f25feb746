package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/internal/standin/target"
)

// notRunFields are the fields of a target's response to the request "id".
const notRunFields = "Waxwingpick-Request-Id: id\r\nWaxwingpick-Server-Stamp: stamp\r\nX-Own: v\r\nRetry-After: 0\r\nConnection: close\r\n"

// Token counts of a prompt that is worth a separate prefill stage, and of one that is not.
const (
	longPrompt  = "30000,10"
	shortPrompt = "500,10"
)

// notRunRequest is a kind of request that is sent to targets whose responses a test sets.
type notRunRequest struct {
	path   string
	tokens string
	// sends is the number of targets that get the request if each one may have run it.
	sends int
}

// notRunRequests are requests to plain services and to engines, with and without a separate prefill stage, that may be repeated or not.
func notRunRequests() map[string]notRunRequest {
	return map[string]notRunRequest{
		"order":                   {path: "/order/1", sends: 1},
		"read":                    {path: "/read/1", sends: 2},
		"stream":                  {path: "/long/1", tokens: shortPrompt, sends: 1},
		"prefilled stream":        {path: "/long/1", tokens: longPrompt, sends: 1},
		"resumable stream":        {path: "/quick/1", tokens: shortPrompt, sends: 2},
		"prefilled and resumable": {path: "/quick/1", tokens: longPrompt, sends: 2},
	}
}

// framings returns a response in each framing.
func framings(status, fields, body string) map[string]string {
	return map[string]string{
		"length":          rawhttp.Sound(status, fields, body),
		"chunks":          rawhttp.Chunked(status, fields, body, ""),
		"connection":      fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n%s", status, fields, body),
		"event stream":    rawhttp.Sound(status, fields+"Content-Type: text/event-stream\r\n", "id: 1\ndata: "+body+"\n\n"),
		"lower-case name": rawhttp.Sound(status, strings.ToLower(fields), body),
		"empty":           rawhttp.Sound(status, fields, ""),
	}
}

// answered sends a request to targets that all respond with raw, and returns the response, its body and the number of runs.
func (s *testGateway) answered(r notRunRequest, raw string) (resp *http.Response, body string, runs int) {
	setFaults(target.Faults{
		Raw: raw,
	}, slices.Concat(s.services, s.engines[:2])...)
	before := len(s.runs())
	resp, err := s.send("id", r.path, "", "Waxwingpick-Token-Counts", r.tokens)
	_, body, complete := s.read(resp, err)
	require.True(s.t, complete)
	return resp, body, len(s.runs()) - before
}

// requireOwn checks that a response is the gateway's own, with its outcome.
func requireOwn(t *testing.T, resp *http.Response, body string, outcome waxwingpick.Outcome, what string) {
	var problem struct {
		Outcome waxwingpick.Outcome `json:"outcome"`
	}
	require.NoError(t, json.Unmarshal([]byte(body), &problem), "%s: %d %q", what, resp.StatusCode, body)
	require.Equal(t, outcome, problem.Outcome, what)
	for _, field := range []string{"Waxwingpick-Server-Stamp", "Waxwingpick-Not-Executed", "X-Own"} {
		require.Empty(t, resp.Header.Values(field), what)
	}
}

// TestStatusOfATargetThatRanIsNoPromise has targets run requests and respond with statuses that promise callers that the request has not
// run. Only a target that states so may have its caller told so.
func TestStatusOfATargetThatRanIsNoPromise(t *testing.T) {
	t.Parallel()
	for name, r := range notRunRequests() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
				line := fmt.Sprint(status, " ", http.StatusText(status))
				for framing, raw := range framings(line, notRunFields, "failure") {
					what := fmt.Sprintf("%d not stated, %s", status, framing)
					resp, body, runs := s.answered(r, raw)
					require.Equal(t, http.StatusBadGateway, resp.StatusCode, what)
					require.Empty(t, resp.Header.Values("Retry-After"), what)
					requireOwn(t, resp, body, waxwingpick.OutcomeUnknown, what)
					require.Equal(t, r.sends, runs, what)
				}
				for framing, raw := range framings(line, notRunFields+"Waxwingpick-Not-Executed: 1\r\n", "failure") {
					what := fmt.Sprintf("%d stated, %s", status, framing)
					resp, body, _ := s.answered(r, raw)
					require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, what)
					require.NotEmpty(t, resp.Header.Values("Retry-After"), what)
					requireOwn(t, resp, body, waxwingpick.OutcomeNotRun, what)
				}
				for stated, fields := range map[bool]string{false: "", true: "Waxwingpick-Not-Executed: 1\r\n"} {
					what := fmt.Sprintf("%d that breaks off, stated: %t", status, stated)
					raw := strings.Replace(rawhttp.Sound(line, notRunFields+fields, "failure"), "Content-Length: ", "Content-Length: 1", 1)
					resp, body, _ := s.answered(r, raw)
					require.Equal(t, http.StatusBadGateway, resp.StatusCode, what)
					requireOwn(t, resp, body, waxwingpick.OutcomeUnknown, what)
				}
			}
			require.Equal(t, r.tokens == longPrompt, s.engines[2].Prefills() > 0, "a separate prefill stage")
		})
	}
}

// TestMisdirectedRequestHasNotRun has every target respond with the one status that needs no further statement.
func TestMisdirectedRequestHasNotRun(t *testing.T) {
	t.Parallel()
	for name, r := range notRunRequests() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			for framing, raw := range framings("421 Misdirected Request", notRunFields, "failure") {
				resp, body, _ := s.answered(r, raw)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, framing)
				requireOwn(t, resp, body, waxwingpick.OutcomeNotRun, framing)
			}
		})
	}
}

// TestRefusalAfterARunIsNoPromise has one target run a request and fail it, and the next one state that it has not run it, or the other way
// round. The caller must not be told that the request has not run.
func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	t.Parallel()
	const stated = notRunFields + "Waxwingpick-Not-Executed: 1\r\n"
	ran := map[string]string{
		"request timeout":   rawhttp.Sound("408 Request Timeout", notRunFields, "failure"),
		"too many requests": rawhttp.Sound("429 Too Many Requests", notRunFields, "failure"),
		"unavailable":       rawhttp.Sound("503 Service Unavailable", notRunFields, "failure"),
		"lost":              "HTTP/1.1 200 OK\r\n" + notRunFields,
	}
	refused := map[string]string{
		"request timeout stated":   rawhttp.Sound("408 Request Timeout", stated, ""),
		"too many requests stated": rawhttp.Sound("429 Too Many Requests", stated, ""),
		"unavailable stated":       rawhttp.Sound("503 Service Unavailable", stated, ""),
		"misdirected":              rawhttp.Sound("421 Misdirected Request", notRunFields, ""),
	}
	for name, r := range notRunRequests() {
		if r.sends == 1 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			// check returns the number of targets that got the request: a gateway that was refused often may not try a second one.
			check := func(first string, ran bool, second, what string) int {
				all := slices.Concat(s.services, s.engines[:2])
				setFaults(target.Faults{
					Raw: first,
					AfterRun: func() {
						setFaults(target.Faults{
							Raw: second,
						}, all...)
					},
				}, all...)
				before := len(s.runs())
				resp, err := s.send("id", r.path, "", "Waxwingpick-Token-Counts", r.tokens)
				status, body, complete := s.read(resp, err)
				require.True(t, complete)
				sent := len(s.runs()) - before
				if sent == 1 && !ran {
					requireOwn(t, resp, body, waxwingpick.OutcomeNotRun, what)
					return sent
				}
				require.Equal(t, http.StatusBadGateway, status, what)
				requireOwn(t, resp, body, waxwingpick.OutcomeUnknown, what)
				return sent
			}
			retriedRefusals := 0
			for before, first := range ran {
				for after, second := range refused {
					require.Equal(t, 2, check(first, true, second, before+", then "+after))
					if check(second, false, first, after+", then "+before) == 2 {
						retriedRefusals++
					}
				}
			}
			require.NotZero(t, retriedRefusals)
		})
	}
}

// TestPrefillStageIsNoRun has the prefill stage of a request succeed or fail in each way, before engines refuse to generate. The request has
// not run then, and its caller is told so.
func TestPrefillStageIsNoRun(t *testing.T) {
	t.Parallel()
	prefills := map[string]string{
		"success": "",
	}
	for _, status := range []int{408, 421, 429, 500, 503} {
		line := fmt.Sprint(status, " ", http.StatusText(status))
		prefills[line] = rawhttp.Sound(line, notRunFields, "")
		prefills[line+" stated"] = rawhttp.Sound(line, notRunFields+"Waxwingpick-Not-Executed: 1\r\n", "")
	}
	for what, raw := range prefills {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			setFaults(target.Faults{
				Full: true,
			}, s.engines[:2]...)
			s.engines[2].SetFaults(target.Faults{
				PrefillRaw: raw,
			})
			resp, err := s.send("id", "/long/1", "")
			status, body, complete := s.read(resp, err)
			require.True(t, complete)
			require.Equal(t, http.StatusServiceUnavailable, status)
			requireOwn(t, resp, body, waxwingpick.OutcomeNotRun, what)
			require.NotZero(t, s.engines[2].Prefills())
			require.Empty(t, s.runs())
		})
	}
}

// TestOtherFailuresOfATargetPassUnchanged has targets respond with the statuses of failure that promise nothing. They reach callers as they
// are, with the target's body and stamp.
func TestOtherFailuresOfATargetPassUnchanged(t *testing.T) {
	t.Parallel()
	for name, r := range notRunRequests() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			for _, status := range []int{400, 403, 404, 409, 413, 422, 425, 500, 501, 502, 504, 505, 599} {
				line := strconv.Itoa(status) + " Failure"
				for framing, raw := range framings(line, notRunFields, "failure") {
					what := fmt.Sprintf("%d, %s", status, framing)
					resp, body, runs := s.answered(r, raw)
					require.Equal(t, status, resp.StatusCode, what)
					require.Equal(t, []string{"stamp"}, resp.Header.Values("Waxwingpick-Server-Stamp"), what)
					require.Equal(t, "v", resp.Header.Get("X-Own"), what)
					require.Contains(t, []string{"failure", "id: 1\ndata: failure\n\n", ""}, body, what)
					require.LessOrEqual(t, runs, r.sends, what)
				}
			}
		})
	}
}

// TestAnotherTargetServesWhatOneMayHaveRun has one of two targets respond with a status that promises what it does not state. A request that
// may be repeated is served by the other one.
func TestAnotherTargetServesWhatOneMayHaveRun(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		setFaults(target.Faults{
			Status: status,
		}, s.services[0], s.engines[0])
		for i := range 8 {
			resp, err := s.send(fmt.Sprint("read", i), "/read/1", "")
			got, body, complete := s.read(resp, err)
			require.True(t, complete)
			require.Equal(t, http.StatusOK, got, "%d: %s", status, body)
			require.Equal(t, "stamp-of-app1", resp.Header.Get("Waxwingpick-Server-Stamp"))
			got, body, complete = s.read(s.send(fmt.Sprint("quick", i), "/quick/1", "", "Waxwingpick-Token-Counts", "500,10"))
			require.True(t, complete)
			require.Equal(t, http.StatusOK, got, "%d: %s", status, body)
			require.Equal(t, completeStream(), body)
		}
	}
}
