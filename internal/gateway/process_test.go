package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/balance"
	"waxwingpick/core/ejection"
	"waxwingpick/core/placement"
	"waxwingpick/core/retry"
	"waxwingpick/core/routetable"
	"waxwingpick/core/timer"
	"waxwingpick/io/prometheus"
)

// unused implements the ports that a test does not call.
type unused struct {
	waxwingpick.KeyFeed
	waxwingpick.Dispatcher
}

// newProcess returns a process that does not serve yet, with its clock.
func newProcess(t *testing.T, targets waxwingpick.Dispatcher) (*Process, *timer.Manual) {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	o := testOptions(t, clock)
	o.Targets = targets
	p, err := New(o)
	require.NoError(t, err)
	return p, clock
}

// testOptions returns the options of a process whose ports must not be called.
func testOptions(t *testing.T, timers waxwingpick.Timers) Options {
	t.Helper()
	metrics, err := prometheus.NewGateway()
	require.NoError(t, err)
	logger, _ := logtest.NewNullLogger()
	return Options{
		Instance: "gateway",
		Feed:     unused{},
		Targets:  unused{},
		Timers:   timers,
		Log:      logger,
		Metrics:  metrics,
		Retries: retry.Bounds{
			Ratio:  0.2,
			Slack:  50,
			Window: 10 * time.Second,
		},
	}
}

// TestReadyOnlyOnceServicesHaveTheirTargets performs the steps of a start one by one, in both orders. A process that
// was ready before the last step rejected requests because their service had no targets.
func TestReadyOnlyOnceServicesHaveTheirTargets(t *testing.T) {
	table := routetable.New(1, nil, []routetable.Service{{
		Name: "app",
	}}, routetable.Limits{})
	for _, listFirst := range []bool{true, false} {
		p, _ := newProcess(t, unused{})
		targets := &targetsSink{
			process: p,
		}
		steps := []func(){
			func() { targets.replace(nil) },
			targets.batchApplied,
			func() { p.table.Store(table) },
			p.updateServices,
		}
		if !listFirst {
			steps = []func(){
				func() { p.table.Store(table) },
				p.updateServices,
				func() { targets.replace(nil) },
				targets.batchApplied,
			}
		}
		for _, step := range steps {
			require.Error(t, p.Ready())
			step()
		}
		require.NoError(t, p.Ready())
		require.NotNil(t, p.service("app"))
	}
}

// TestEjectedTargetsAreLogged checks the log lines for the loss and the recovery of an engine and of a plain service's
// target.
func TestEjectedTargetsAreLogged(t *testing.T) {
	for _, engines := range []bool{true, false} {
		logger, lines := logtest.NewNullLogger()
		s := newService("service", Options{
			Log: logger,
			Retries: retry.Bounds{
				Window: time.Second,
			},
		}, newStatements(&Process{
			options: Options{
				Instance: "gateway",
			},
		}))
		config := routetable.Service{
			Name: "service",
		}
		if engines {
			config.Engines = waxwingpick.Some(routetable.Engines{
				MemoryTokens: 1000,
			})
		}
		s.update([]waxwingpick.Target{{
			ID:    "a",
			Slots: 1,
		}}, config)
		now := time.Unix(100, 0)
		send := func() selection {
			if !engines {
				p := s.chooseTarget(now, balance.Demand{}, false)
				require.Equal(t, waxwingpick.VerdictPlaced, p.verdict)
				return p.selection
			}
			p := s.chooseEngines(now, placement.Demand{
				Deadline: now.Add(time.Minute),
			}, false)
			require.Equal(t, waxwingpick.VerdictPlaced, p.verdict)
			return p.selection
		}
		for range 3 {
			c := send()
			s.failed(now, c, true)
			s.ended(now, c, ejection.ResponseFailed, waxwingpick.None[int]())
		}
		c := send()
		s.streamStarted(now, c)
		s.ended(now, c, ejection.ResponseServed, waxwingpick.None[int]())
		var messages []string
		for _, e := range lines.AllEntries() {
			require.EqualValues(t, "a", e.Data["target"])
			messages = append(messages, e.Message)
		}
		require.Equal(t, []string{"target ejected: no responses", "target returned to service"}, messages, "engines: %v", engines)
	}
}

// TestAnsweredFailureIsNoLostResponse guards against targets that are ejected as silent, and requests that are suspected of crashes, because
// a target responded with a failure.
func TestAnsweredFailureIsNoLostResponse(t *testing.T) {
	replied := func(status int, notRun bool) sendResult {
		x := &exchange{}
		return x.classify(waxwingpick.Dispatched{
			Status: status,
			NotRun: notRun,
		}, nil)
	}
	failed := func(errs ...error) sendResult {
		return sendResult{
			err:     errors.Join(errs...),
			refusal: waxwingpick.Unknown(waxwingpick.ReasonTargetLost, ""),
		}
	}
	for name, row := range map[string]struct {
		result   sendResult
		response ejection.Response
		silent   bool
	}{
		"success":               {result: replied(200, false), response: ejection.ResponseServed},
		"redirect":              {result: replied(302, false), response: ejection.ResponseServed},
		"not found":             {result: replied(404, false), response: ejection.ResponseRejected},
		"too many requests":     {result: replied(429, false), response: ejection.ResponseFailed},
		"unavailable":           {result: replied(503, false), response: ejection.ResponseFailed},
		"unavailable, stated":   {result: replied(503, true), response: ejection.ResponseNone},
		"server error":          {result: replied(500, false), response: ejection.ResponseFailed},
		"prefill failed":        {result: failed(waxwingpick.ErrEngineLost, waxwingpick.ErrEngineFailed), response: ejection.ResponseFailed},
		"prefill refused":       {result: failed(waxwingpick.ErrEngineRefused), response: ejection.ResponseNone},
		"lost":                  {result: failed(waxwingpick.ErrEngineLost), response: ejection.ResponseNone, silent: true},
		"unreachable":           {result: failed(waxwingpick.ErrEngineUnreachable), response: ejection.ResponseNone, silent: true},
		"deadline":              {result: failed(waxwingpick.ErrEngineLost, context.DeadlineExceeded), response: ejection.ResponseNone},
		"no decode engine left": {result: sendResult{refusal: waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "")}, response: ejection.ResponseNone},
	} {
		require.Equal(t, row.response, row.result.response(), name)
		require.Equal(t, row.silent, row.result.unresponsive(), name)
	}
}
