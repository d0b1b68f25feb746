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

// withCall carries the caller's request through the ledger to its attempts.
func withCall(ctx context.Context, c *serviceCall) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// orderSidecars hands the ledger's attempts to the sidecars.
type orderSidecars struct {
	process *Process
}

// Run sends the attempt and returns the target's answer.
func (s *orderSidecars) Run(ctx context.Context, attempt ledger.Attempt, _ waxwingpick.CallRequest) (ledger.Answer, error) {
	c, ok := ctx.Value(callKey{}).(*serviceCall)
	if !ok {
		panic("order without its call")
	}
	instance, _, known := c.targets.instance(attempt.Target)
	if !known {
		return ledger.Answer{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target left the platform's list")
	}
	result, err := c.send(ctx, attempt.ID, chosen{
		choice: routing.Choice{
			Target: attempt.Target,
		},
		instance: instance,
	}, attempt.Incarnation)
	if err != nil {
		return ledger.Answer{}, fmt.Errorf("run order: %w", err)
	}
	return ledger.Answer{
		Status:  result.Status,
		Headers: result.Headers,
		Body:    result.Body,
	}, nil
}

// Bar asks the sidecar to keep the attempt from running and returns what it knows of it.
func (s *orderSidecars) Bar(ctx context.Context, attempt ledger.Attempt) (ledger.Standing, *ledger.Answer, error) {
	var resp sidecar.BarResponse
	err := s.process.client.Call(ctx, attempt.Address, sidecar.MethodBar, sidecar.BarRequest{
		Attempt:     attempt.ID,
		Incarnation: attempt.Incarnation,
	}, &resp)
	if err != nil {
		return "", nil, fmt.Errorf("bar order: %w", err)
	}
	return resp.Standing, resp.Answer, nil
}
