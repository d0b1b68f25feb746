package sidecar

import (
	"cmp"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/trail"
	"waxwingpick/io/sidecar"
)

// Outcomes of attempts in the decision log.
const (
	outcomeRun               = "run"
	outcomeRefused           = "refused"
	outcomeResponded         = "answered"
	outcomeMoved             = "moved"
	outcomeEntryDisconnected = "entryGone"
	outcomeBroken            = "broken"
)

// beginTrail begins the decision trail of an attempt. An attempt without a request ID is logged under its own ID.
func (p *Process) beginTrail(a sidecar.Attempt) *trail.Trail {
	return p.trails.Begin(cmp.Or(a.Request, waxwingpick.RequestID(a.ID)))
}

// arrival is the time of an attempt's arrival and the load at that time.
type arrival struct {
	at   time.Time
	load waxwingpick.TargetLoad
}

func (p *Process) newArrival() arrival {
	return arrival{
		at:   p.timers.Now(),
		load: p.admitter.load(),
	}
}

// recordAdmission records whether an attempt may run and how long it waited for admission. A refusal ends the trail.
func (p *Process) recordAdmission(t *trail.Trail, a sidecar.Attempt, arrived arrival, refusal *waxwingpick.Refusal) {
	now := p.timers.Now()
	inputs := []waxwingpick.Input{
		waxwingpick.In("attempt", a.ID),
		waxwingpick.In("class", a.Class.String()),
		waxwingpick.In("workspace", a.Workspace),
		waxwingpick.InMillis("waited", now.Sub(arrived.at)),
		waxwingpick.In("remainingMillis", a.RemainingMillis),
		waxwingpick.In("running", arrived.load.Running),
		waxwingpick.In("waiting", arrived.load.Queued),
		waxwingpick.In("configRevision", p.configRevision()),
		waxwingpick.In("entrysConfigRevision", a.ConfigRevision),
	}
	if refusal != nil {
		t.AddNotable(waxwingpick.ActionAdmit.Of(now, outcomeRefused, append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
		t.End(now)
		return
	}
	t.Add(waxwingpick.ActionAdmit.Of(now, outcomeRun, inputs...))
}

// recordRun ends the trail of an attempt with its outcome. err is nil if the attempt succeeded.
func (p *Process) recordRun(t *trail.Trail, a sidecar.Attempt, outcome string, err error) {
	now := p.timers.Now()
	inputs := []waxwingpick.Input{waxwingpick.In("attempt", a.ID)}
	var refusal *waxwingpick.Refusal
	switch {
	case err == nil:
		t.Add(waxwingpick.ActionRun.Of(now, outcome, inputs...))
	case errors.As(err, &refusal):
		t.AddNotable(waxwingpick.ActionRun.Of(now, outcome, append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
	default:
		t.AddNotable(waxwingpick.ActionRun.Of(now, outcome, append(inputs, waxwingpick.In("error", err.Error()))...))
	}
	t.End(now)
}
