package daemon_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"waxwingpick"
	"waxwingpick/io/openai"

	"github.com/stretchr/testify/require"
)

// decisionLine is the log line of one decision.
type decisionLine struct {
	Message string         `json:"msg"`
	Time    string         `json:"time"`
	Request string         `json:"request"`
	Action  string         `json:"action"`
	Outcome string         `json:"outcome"`
	Inputs  map[string]any `json:"inputs"`
}

// decisionsOf returns the decisions that a process has logged about a request.
func decisionsOf(t *testing.T, p *proc, request string) []decisionLine {
	t.Helper()
	var all []decisionLine
	for scan := bufio.NewScanner(strings.NewReader(p.log.String())); scan.Scan(); {
		var line decisionLine
		if json.Unmarshal(scan.Bytes(), &line) == nil && line.Message == "decision" && line.Request == request {
			all = append(all, line)
		}
	}
	return all
}

// logged reports whether a process has logged the message about a dependency.
func (p *proc) logged(message, dependency string) bool {
	for scan := bufio.NewScanner(strings.NewReader(p.log.String())); scan.Scan(); {
		var line struct {
			Message    string `json:"msg"`
			Dependency string `json:"dependency"`
		}
		if json.Unmarshal(scan.Bytes(), &line) == nil && line.Message == message && line.Dependency == dependency {
			return true
		}
	}
	return false
}

// actionsAndOutcomes returns each decision as "action outcome".
func actionsAndOutcomes(lines []decisionLine) []string {
	var all []string
	for _, l := range lines {
		all = append(all, l.Action+" "+l.Outcome)
	}
	return all
}

// chatResponse is the response to a chat request.
type chatResponse struct {
	status  int
	request string
	problem openai.Problem
}

// chat sends a chat request without streaming. Its deadline is given in seconds.
func (f *fleet) chat(name string, tokens, seconds int) chatResponse {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"who swapped Tuesday salsa"}]}`, name, tokens)
	req, err := http.NewRequest(http.MethodPost, f.scheme+f.listens[0]+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Prefer", fmt.Sprintf("wait=%d", seconds))
	resp, err := f.http.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	r := chatResponse{
		status:  resp.StatusCode,
		request: resp.Header.Get("X-Request-Id"),
	}
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&r.problem))
	return r
}

// awaitResponse waits until a process has logged the response to a request and returns all decisions about the request.
func (f *fleet) awaitResponse(p *proc, request string) []decisionLine {
	f.t.Helper()
	var lines []decisionLine
	f.await(func() bool {
		lines = decisionsOf(f.t, p, request)
		return len(lines) > 0 && lines[len(lines)-1].Action == "answer"
	})
	return lines
}

// TestLogsTellARequestsWay finds requests in the logs of each process that handled them, by the request ID in the response
// to the caller.
func TestLogsTellARequestsWay(t *testing.T) {
	f := startFleet(t, 1, 1)
	entry, sidecar := f.entries[0], f.sidecars[0]

	complete := f.chat(model, 3, 20)
	require.Equal(t, http.StatusOK, complete.status)
	f.await(func() bool {
		return len(decisionsOf(t, entry, complete.request)) == 4 && len(decisionsOf(t, sidecar, complete.request)) == 2
	})
	require.Equal(t, []string{"accept quick", "choose engine-0", "attempt answered", "answer answered"},
		attemptsFirst(actionsAndOutcomes(decisionsOf(t, entry, complete.request))))
	require.Equal(t, []string{"admit run", "run answered"}, actionsAndOutcomes(decisionsOf(t, sidecar, complete.request)))
	choice := decisionsOf(t, entry, complete.request)[1]
	require.Contains(t, choice.Inputs, "reportAgeMillis")
	require.Contains(t, choice.Inputs, "listAgeMillis")

	unknown := f.chat("no such model", 3, 20)
	require.Equal(t, http.StatusNotFound, unknown.status)
	f.await(func() bool {
		return len(decisionsOf(t, entry, unknown.request)) == 1
	})
	refused := decisionsOf(t, entry, unknown.request)[0]
	require.Equal(t, "accept refused", refused.Action+" "+refused.Outcome)
	require.Equal(t, "wrongModel", refused.Inputs["reason"])
	require.Equal(t, "notRun", refused.Inputs["outcome"])
	require.Contains(t, refused.Inputs, "configRevision")

	// The only target is predicted to need half a minute. The response names the deadline as the reason, not the lack of a
	// second target. The deadline of 10 s leaves enough time for the response on a busy machine.
	late := f.chat(model, 4000, 10)
	require.Equal(t, http.StatusServiceUnavailable, late.status)
	require.Equal(t, waxwingpick.ReasonDeadline, late.problem.Reason)
	require.Equal(t, waxwingpick.OutcomeNotRun, late.problem.Outcome)
	lines := f.awaitResponse(entry, late.request)
	require.Equal(t, "deadline", lines[len(lines)-1].Inputs["reason"])
	f.await(func() bool {
		return len(decisionsOf(t, sidecar, late.request)) == 1
	})
	require.Equal(t, []string{"admit refused"}, actionsAndOutcomes(decisionsOf(t, sidecar, late.request)))

	require.NoError(t, sidecar.cmd.Process.Signal(syscall.SIGKILL))
	_ = sidecar.cmd.Wait()
	lost := f.chat(model, 3, 20)
	require.GreaterOrEqual(t, lost.status, http.StatusInternalServerError)
	lines = f.awaitResponse(entry, lost.request)
	require.Contains(t, actionsAndOutcomes(lines), "choose engine-0")
	last := lines[len(lines)-1]
	require.Equal(t, "refused", last.Outcome)
	require.Contains(t, last.Inputs, "reason")
	require.Contains(t, last.Inputs, "tookMillis")
}

// attemptsFirst moves the end of the last attempt before the response to the caller, because the response may be logged
// first.
func attemptsFirst(steps []string) []string {
	for i := 1; i < len(steps); i++ {
		if strings.HasPrefix(steps[i], "attempt") && strings.HasPrefix(steps[i-1], "answer") {
			steps[i], steps[i-1] = steps[i-1], steps[i]
		}
	}
	return steps
}
