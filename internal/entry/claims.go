package entry

import (
	"context"
	"errors"
	"fmt"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/sidecar"
)

// handClaims hands writes of claims to the entry that gathers them.
func (p *Process) handClaims(ctx context.Context, owner waxwingpick.InstanceID, writes []ledger.ClaimWrite) ([]ledger.WriteResult, error) {
	control, ok := p.controlOf(owner)
	if !ok {
		return nil, fmt.Errorf("entry %s left the platform's list: %w", owner, ledger.ErrNotTaken)
	}
	var resp sidecar.ClaimsResponse
	err := p.client.Call(ctx, control, sidecar.MethodClaims, sidecar.ClaimsRequest{
		Writes: writes,
	}, &resp)
	if errors.Is(err, jsonrpc.ErrNotTaken) {
		err = fmt.Errorf("%w: %w", ledger.ErrNotTaken, err)
	}
	if err != nil {
		p.log.WithField("owner", owner).WithField("claims", len(writes)).WithField("error", err.Error()).Warn("claims not handed over")
	}
	return resp.Results, err
}

// controlOf returns where an instance of the platform's list takes control calls.
func (p *Process) controlOf(id waxwingpick.InstanceID) (addr string, ok bool) {
	for _, i := range p.instances() {
		if i.ID == id {
			return i.Control, true
		}
	}
	return "", false
}

// takeClaims writes what another entry handed over.
func (p *Process) takeClaims(ctx context.Context, req sidecar.ClaimsRequest) (sidecar.ClaimsResponse, error) {
	results, err := p.ledger.Commit(ctx, req.Writes)
	if err != nil {
		return sidecar.ClaimsResponse{}, fmt.Errorf("write handed claims: %w", err)
	}
	return sidecar.ClaimsResponse{
		Results: results,
	}, nil
}
