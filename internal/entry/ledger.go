package entry

import (
	"context"
	"fmt"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/core/routing"
	"waxwingpick/io/sidecar"
)

var _ ledger.Sidecar = (*orderSidecars)(nil)

type callKey struct{}

// withCall attaches the caller's request to the context that the ledger passes to its attempts.
func withCall(ctx context.Context, c *serviceCall) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// orderSidecars sends the ledger's attempts to the sidecars.
type orderSidecars struct {
	process *Process
}

// Run sends the attempt and returns the target's response.
func (s *orderSidecars) Run(ctx context.Context, attempt ledger.Attempt, _ waxwingpick.CallRequest) (ledger.Response, error) {
	c, ok := ctx.Value(callKey{}).(*serviceCall)
	if !ok {
		panic("context of an order has no call")
	}
	instance, _, known := c.targets.targetInstance(attempt.Target)
	if !known {
		return ledger.Response{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target is not in the instance list")
	}
	result, err := c.send(ctx, attempt.ID, chosenTarget{
		choice: routing.Choice{
			Target: attempt.Target,
		},
		instance: instance,
	}, attempt.Incarnation)
	if err != nil {
		return ledger.Response{}, fmt.Errorf("run order: %w", err)
	}
	return ledger.Response{
		Status:  result.Status,
		Headers: result.Headers,
		Body:    result.Body,
	}, nil
}

// Fence requests that the sidecar fence the attempt, and returns the attempt's state there.
func (s *orderSidecars) Fence(ctx context.Context, attempt ledger.Attempt) (ledger.AttemptState, *ledger.Response, error) {
	var resp sidecar.FenceResponse
	err := s.process.client.Call(ctx, attempt.Address, sidecar.MethodFence, sidecar.FenceRequest{
		Attempt:     attempt.ID,
		Incarnation: attempt.Incarnation,
	}, &resp)
	if err != nil {
		return "", nil, fmt.Errorf("fence order: %w", err)
	}
	return resp.State, resp.Response, nil
}
