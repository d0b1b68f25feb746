package entry

import (
	"errors"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/burn"
	"waxwingpick/io/prometheus"
)

// outcomes counts request results for metrics and the burn report.
type outcomes struct {
	metrics *prometheus.Metrics
	burn    *burn.Recorder
}

// requestResult is the final result of one request.
type requestResult struct {
	service   waxwingpick.ServiceName
	class     waxwingpick.Class
	preset    string
	target    waxwingpick.TargetID
	workspace waxwingpick.WorkspaceID
	duration  time.Duration
	// late reports that the request ended after its deadline.
	late bool
	// err is nil if the response is complete.
	err error
}

func newOutcomes() (*outcomes, error) {
	metrics, err := prometheus.New()
	if err != nil {
		return nil, fmt.Errorf("create metrics: %w", err)
	}
	if err := metrics.Runtime(); err != nil {
		return nil, fmt.Errorf("create runtime metrics: %w", err)
	}
	recorder, err := burn.New()
	if err != nil {
		return nil, fmt.Errorf("create burn recorder: %w", err)
	}
	return &outcomes{
		metrics: metrics,
		burn:    recorder,
	}, nil
}

func (o *outcomes) record(now time.Time, e requestResult) {
	o.metrics.Request(e.service, e.class, metricsResult(e), e.duration)
	if refusal := refusalIn(e.err); refusal != nil {
		o.metrics.Refused(refusal)
	}
	o.burn.Record(now, burn.Event{
		Class:     e.class,
		Preset:    e.preset,
		Target:    e.target,
		Workspace: e.workspace,
		Good:      e.err == nil && !e.late,
	})
}

// refusalIn returns the refusal in an error's chain, or nil.
func refusalIn(err error) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

func metricsResult(e requestResult) prometheus.Result {
	refusal := refusalIn(e.err)
	switch {
	case e.err == nil && e.late:
		return prometheus.ResultLate
	case e.err == nil:
		return prometheus.ResultResponded
	case refusal != nil && refusal.Outcome == waxwingpick.OutcomeNotRun:
		return prometheus.ResultNotRun
	}
	return prometheus.ResultUnknown
}
