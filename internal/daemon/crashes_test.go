package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/standin/target"
	"waxwingpick/platform"
)

const (
	// fatalPart is the ID of the prompt part that crashes engines, and firstPart that of the part before it, which other
	// requests have as well.
	fatalPart = "dead"
	firstPart = "aa"
	// maxPartCrashes is the maximum number of crashes that one part may cause.
	maxPartCrashes = 5
	// extraEngines is the number of engines besides those of each test gateway, so that a part that is never refused
	// crashes more than maxPartCrashes.
	extraEngines = 10
)

// sendWithParts sends a request whose prompt has these parts and one of its own.
func (s *testGateway) sendWithParts(id string, parts ...string) (*http.Response, error) {
	var prefix strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&prefix, "%s:100,", part)
	}
	return s.send(id, "/long/"+id, "body of "+id, "Waxwingpick-Token-Counts", "500,10", "Waxwingpick-Prompt-Prefix", fmt.Sprintf("%s%x:100", prefix.String(), id))
}

// runsWithPart returns the number of runs whose prompt has a part.
func (s *testGateway) runsWithPart(id string) int {
	n := 0
	for _, r := range s.runs() {
		if slices.Contains(strings.FieldsFunc(r.Headers["Waxwingpick-Prompt-Prefix"], func(c rune) bool { return c == ',' }), id+":100") {
			n++
		}
	}
	return n
}

// TestPromptPartThatCrashesTargetsIsRefused sends different requests that share a prompt part, which crashes each engine
// that runs them, through two gateways in turn. A gateway that blames whole requests only never recognizes the part, and
// one that blames all parts refuses the sound requests with the same first part.
func TestPromptPartThatCrashesTargetsIsRefused(t *testing.T) {
	t.Parallel()
	tests := map[string]target.Faults{
		"before the response begins": {
			CrashOnPart: fatalPart,
		},
		"after the first event": {
			CrashOnPart: fatalPart,
			CrashAfter:  1,
		},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestGateway(t)
			for i := range extraEngines {
				s.engines = append(s.engines, s.add(fmt.Sprint("more", i), "decode", "llm"))
			}
			setFaults(faults, s.engines...)
			s.start()
			defer s.stop()
			gateways := []platform.Boot{s.boot, s.startPeer()}
			defer func() { s.boot = gateways[0] }()
			refusals := 0
			for i := range 2 * extraEngines {
				s.boot = gateways[i%2]
				s.read(s.sendWithParts(fmt.Sprint("sound", i), firstPart, fmt.Sprint("b", i%3)))
				resp, err := s.sendWithParts(fmt.Sprint("fatal", i), firstPart, fatalPart)
				status, _, complete := s.read(resp, err)
				require.False(t, complete && status == http.StatusOK)
				if status == http.StatusServiceUnavailable {
					require.NotEmpty(t, resp.Header.Get("Retry-After"))
					refusals++
				}
				require.LessOrEqual(t, s.runsWithPart(fatalPart), maxPartCrashes, "after %d requests with the part, %d refused", i+1, refusals)
			}
			for i, boot := range gateways {
				s.boot = boot
				require.Eventually(t, func() bool {
					status, _, _ := s.read(s.sendWithParts(fmt.Sprint("last", i), firstPart, fatalPart))
					return status == http.StatusServiceUnavailable
				}, time.Minute, 10*time.Millisecond)
				status, _, complete := s.read(s.sendWithParts(fmt.Sprint("later", i), firstPart, "b0"))
				require.Equal(t, http.StatusOK, status, "a sound request with the same first part")
				require.True(t, complete)
			}
		})
	}
}
