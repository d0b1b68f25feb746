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
	jsonrpc.HandleTyped(p.control, sidecar.MethodFence, p.fence, mtls.RoleEntry)
	jsonrpc.HandleTyped(p.control, sidecar.MethodSuspects, p.exchangeSuspects, mtls.RoleEntry)
}

// probe returns the load report and compares the suspects' and records' sums.
func (p *Process) probe(_ context.Context, req sidecar.ProbeRequest) (sidecar.ProbeResponse, error) {
	p.records.CompareSum(req.RecordsSum)
	return req.Response(p.report(), p.crashes.sum(p.timers.Now()), p.records.Sum()), nil
}

// exchangeSuspects merges an entry's crash suspects and returns those of this sidecar.
func (p *Process) exchangeSuspects(_ context.Context, msg sidecar.SuspectsMessage) (sidecar.SuspectsMessage, error) {
	now := p.timers.Now()
	p.crashes.merge(now, msg.Records)
	return sidecar.SuspectsMessage{
		Records: p.crashes.records(now),
	}, nil
}

// fence prevents an attempt from running, and returns its state.
func (p *Process) fence(_ context.Context, req sidecar.FenceRequest) (sidecar.FenceResponse, error) {
	state, response := p.guard.Fence(p.timers.Now(), req.Attempt, req.Incarnation)
	return sidecar.FenceResponse{
		State:    state,
		Response: response,
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
	r.Load.Leaving = r.Load.Leaving || p.drainRequested.Load() || !p.gate.Ready()
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
