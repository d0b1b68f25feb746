package sidecar

import (
	"context"
	"errors"

	"waxwingpick"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/mtls"
	"waxwingpick/io/sidecar"
)

func (p *Process) registerControl() {
	jsonrpc.HandleTyped(p.control, sidecar.MethodProbe, p.probe, mtls.RoleEntry)
	jsonrpc.HandleTyped(p.control, sidecar.MethodBar, p.bar, mtls.RoleEntry)
	jsonrpc.HandleTyped(p.control, sidecar.MethodSuspects, p.exchangeSuspects, mtls.RoleEntry)
}

// probe reports the load.
func (p *Process) probe(_ context.Context, req sidecar.ProbeRequest) (sidecar.ProbeResponse, error) {
	p.records.Heard(req.RecordsSum)
	return req.Answer(p.report(), p.crashes.sum(p.timers.Now()), p.records.Sum()), nil
}

// exchangeSuspects takes what an entry knows of crash suspects and tells what this sidecar knows.
func (p *Process) exchangeSuspects(_ context.Context, msg sidecar.SuspectsMessage) (sidecar.SuspectsMessage, error) {
	now := p.timers.Now()
	p.crashes.merge(now, msg.Records)
	return sidecar.SuspectsMessage{
		Records: p.crashes.records(now),
	}, nil
}

// bar keeps an attempt from running, or tells what became of it.
func (p *Process) bar(_ context.Context, req sidecar.BarRequest) (sidecar.BarResponse, error) {
	standing, answer := p.guard.Bar(p.timers.Now(), req.Attempt, req.Incarnation)
	return sidecar.BarResponse{
		Standing: standing,
		Answer:   answer,
	}, nil
}

func (p *Process) report() sidecar.Report {
	r := sidecar.Report{
		Target:         p.target,
		Incarnation:    p.guard.Incarnation(p.timers.Now()),
		Load:           p.admitter.load(),
		ConfigRevision: p.configRevision(),
		Totals:         p.totals.report(),
	}
	r.Load.Leaving = r.Load.Leaving || p.ordered.Load() || !p.gate.Ready()
	if active, ok := p.activeConfig(); ok {
		r.Active = active
	}
	return r
}

func (p *Process) reportPointer() *sidecar.Report {
	r := p.report()
	return &r
}

func asRefusal(err error) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error())
}
