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

// decisionLine is one decision as a process logs it.
type decisionLine struct {
	Message string         `json:"msg"`
	Time    string         `json:"time"`
	Request string         `json:"request"`
	Action  string         `json:"action"`
	Outcome string         `json:"outcome"`
	Inputs  map[string]any `json:"inputs"`
}

// decisionsOf returns what a process logged about a request.
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

// logged reports whether a process wrote a line with the message about a dependency.
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

// steps returns the decisions as "action outcome".
func steps(lines []decisionLine) []string {
	var all []string
	for _, l := range lines {
		all = append(all, l.Action+" "+l.Outcome)
	}
	return all
}

// reply is what a caller got for a question.
type reply struct {
	status  int
	request string
	problem openai.Problem
}

// question sends a question for a model's whole answer, to be had within some seconds.
func (f *fleet) question(name string, tokens, seconds int) reply {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"who swapped Tuesday salsa"}]}`, name, tokens)
	req, err := http.NewRequest(http.MethodPost, f.scheme+f.listens[0]+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Prefer", fmt.Sprintf("wait=%d", seconds))
	resp, err := f.http.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	r := reply{
		status:  resp.StatusCode,
		request: resp.Header.Get("X-Request-Id"),
	}
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&r.problem))
	return r
}

// answered waits until a process has logged the answer to a request and returns all that it logged of it.
func (f *fleet) answered(p *proc, request string) []decisionLine {
	f.t.Helper()
	var lines []decisionLine
	f.await(func() bool {
		lines = decisionsOf(f.t, p, request)
		return len(lines) > 0 && lines[len(lines)-1].Action == "answer"
	})
	return lines
}

// TestLogsTellARequestsWay finds requests by the ID that their callers got in the logs of every process that they passed.
func TestLogsTellARequestsWay(t *testing.T) {
	f := startFleet(t, 1, 1)
	entry, sidecar := f.entries[0], f.sidecars[0]

	whole := f.question(model, 3, 20)
	require.Equal(t, http.StatusOK, whole.status)
	f.await(func() bool {
		return len(decisionsOf(t, entry, whole.request)) == 4 && len(decisionsOf(t, sidecar, whole.request)) == 2
	})
	require.Equal(t, []string{"accept quick", "choose engine-0", "attempt answered", "answer answered"},
		inOrder(steps(decisionsOf(t, entry, whole.request))))
	require.Equal(t, []string{"admit run", "run answered"}, steps(decisionsOf(t, sidecar, whole.request)))
	choice := decisionsOf(t, entry, whole.request)[1]
	require.Contains(t, choice.Inputs, "reportAgeMillis")
	require.Contains(t, choice.Inputs, "listAgeMillis")

	unknown := f.question("no such model", 3, 20)
	require.Equal(t, http.StatusNotFound, unknown.status)
	f.await(func() bool {
		return len(decisionsOf(t, entry, unknown.request)) == 1
	})
	refused := decisionsOf(t, entry, unknown.request)[0]
	require.Equal(t, "accept refused", refused.Action+" "+refused.Outcome)
	require.Equal(t, "wrongModel", refused.Inputs["reason"])
	require.Equal(t, "notRun", refused.Inputs["outcome"])
	require.Contains(t, refused.Inputs, "configRevision")

	// The only target is predicted to need half a minute, which is what the caller is told, not that no second target is
	// there; the deadline leaves a busy machine the time to say so.
	late := f.question(model, 4000, 10)
	require.Equal(t, http.StatusServiceUnavailable, late.status)
	require.Equal(t, waxwingpick.ReasonDeadline, late.problem.Reason)
	require.Equal(t, waxwingpick.OutcomeNotRun, late.problem.Outcome)
	lines := f.answered(entry, late.request)
	require.Equal(t, "deadline", lines[len(lines)-1].Inputs["reason"])
	f.await(func() bool {
		return len(decisionsOf(t, sidecar, late.request)) == 1
	})
	require.Equal(t, []string{"admit refused"}, steps(decisionsOf(t, sidecar, late.request)))

	require.NoError(t, sidecar.cmd.Process.Signal(syscall.SIGKILL))
	_ = sidecar.cmd.Wait()
	lost := f.question(model, 3, 20)
	require.GreaterOrEqual(t, lost.status, http.StatusInternalServerError)
	lines = f.answered(entry, lost.request)
	require.Contains(t, steps(lines), "choose engine-0")
	last := lines[len(lines)-1]
	require.Equal(t, "refused", last.Outcome)
	require.Contains(t, last.Inputs, "reason")
	require.Contains(t, last.Inputs, "tookMillis")
}

// inOrder puts the end of the last attempt before the answer, which may reach its caller first.
func inOrder(steps []string) []string {
	for i := 1; i < len(steps); i++ {
		if strings.HasPrefix(steps[i], "attempt") && strings.HasPrefix(steps[i-1], "answer") {
			steps[i], steps[i-1] = steps[i-1], steps[i]
		}
	}
	return steps
}
