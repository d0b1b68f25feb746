package sidecar

import (
	"cmp"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/trail"
	"waxwingpick/io/sidecar"
)

// Outcomes of attempts in the log.
const (
	outcomeRun      = "run"
	outcomeRefused  = "refused"
	outcomeAnswered = "answered"
	outcomeMoved    = "moved"
	outcomeNoEntry  = "entryGone"
	outcomeBroken   = "broken"
)

// arrived begins the trail of an attempt; one of an entry that names no request is known by its own ID.
func (p *Process) arrived(a sidecar.Attempt) *trail.Trail {
	return p.trails.Begin(cmp.Or(a.Request, waxwingpick.RequestID(a.ID)))
}

// arrival is when an attempt came and the load that it met.
type arrival struct {
	at   time.Time
	load waxwingpick.TargetLoad
}

func (p *Process) arrival() arrival {
	return arrival{
		at:   p.timers.Now(),
		load: p.admitter.load(),
	}
}

// admitted notes whether an attempt may run here and how long it waited for that; a refusal ends the trail.
func (p *Process) admitted(t *trail.Trail, a sidecar.Attempt, came arrival, refusal *waxwingpick.Refusal) {
	now := p.timers.Now()
	inputs := []waxwingpick.Input{
		waxwingpick.In("attempt", a.ID),
		waxwingpick.In("class", a.Class.String()),
		waxwingpick.In("workspace", a.Workspace),
		waxwingpick.InMillis("waited", now.Sub(came.at)),
		waxwingpick.In("remainingMillis", a.RemainingMillis),
		waxwingpick.In("running", came.load.Running),
		waxwingpick.In("waiting", came.load.Queued),
		waxwingpick.In("configRevision", p.configRevision()),
		waxwingpick.In("entrysConfigRevision", a.ConfigRevision),
	}
	if refusal != nil {
		t.Note(waxwingpick.ActionAdmit.Of(now, outcomeRefused, append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
		t.End(now)
		return
	}
	t.Add(waxwingpick.ActionAdmit.Of(now, outcomeRun, inputs...))
}

// ran ends the trail of an attempt with what became of it; err is nil where it went well.
func (p *Process) ran(t *trail.Trail, a sidecar.Attempt, outcome string, err error) {
	now := p.timers.Now()
	inputs := []waxwingpick.Input{waxwingpick.In("attempt", a.ID)}
	var refusal *waxwingpick.Refusal
	switch {
	case err == nil:
		t.Add(waxwingpick.ActionRun.Of(now, outcome, inputs...))
	case errors.As(err, &refusal):
		t.Note(waxwingpick.ActionRun.Of(now, outcome, append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
	default:
		t.Note(waxwingpick.ActionRun.Of(now, outcome, append(inputs, waxwingpick.In("error", err.Error()))...))
	}
	t.End(now)
}
