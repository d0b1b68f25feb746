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

// forwardClaims sends claim writes to the entry that owns their shard and batches them.
func (p *Process) forwardClaims(ctx context.Context, owner waxwingpick.InstanceID, writes []ledger.ClaimWrite) ([]ledger.WriteResult, error) {
	control, ok := p.controlAddr(owner)
	if !ok {
		return nil, fmt.Errorf("entry %s is not in the instance list: %w", owner, ledger.ErrForwardRejected)
	}
	var resp sidecar.ClaimsResponse
	err := p.client.Call(ctx, control, sidecar.MethodClaims, sidecar.ClaimsRequest{
		Writes: writes,
	}, &resp)
	if errors.Is(err, jsonrpc.ErrNotHandled) {
		err = fmt.Errorf("%w: %w", ledger.ErrForwardRejected, err)
	}
	if err != nil {
		p.log.WithField("owner", owner).WithField("claims", len(writes)).WithField("error", err.Error()).Warn("failed to forward claims")
	}
	return resp.Results, err
}

// controlAddr returns the control address of an instance in the platform's list.
func (p *Process) controlAddr(id waxwingpick.InstanceID) (addr string, ok bool) {
	for _, i := range p.instances() {
		if i.ID == id {
			return i.Control, true
		}
	}
	return "", false
}

// handleClaims writes claims that another entry forwarded.
func (p *Process) handleClaims(ctx context.Context, req sidecar.ClaimsRequest) (sidecar.ClaimsResponse, error) {
	results, err := p.ledger.Commit(ctx, req.Writes)
	if err != nil {
		return sidecar.ClaimsResponse{}, fmt.Errorf("write forwarded claims: %w", err)
	}
	return sidecar.ClaimsResponse{
		Results: results,
	}, nil
}
