package operator

import (
	"context"
	"fmt"

	"waxwingpick/core/suspect"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/mtls"
)

// Handler handles the calls of operators at an entry.
type Handler interface {
	Status(ctx context.Context, req StatusRequest) (Status, error)
	Burn(ctx context.Context, req BurnRequest) (BurnResponse, error)
	Lift(ctx context.Context, req LiftRequest) (LiftResponse, error)
}

// Register registers the handler of the calls of operators.
func Register(s *jsonrpc.Server, h Handler) {
	jsonrpc.HandleTypedOpen(s, MethodStatus, h.Status, mtls.RoleOperator)
	jsonrpc.HandleTypedOpen(s, MethodBurn, h.Burn, mtls.RoleOperator)
	jsonrpc.HandleTypedOpen(s, MethodLift, h.Lift, mtls.RoleOperator)
}

// Client calls entries at their control addresses.
type Client struct {
	rpc *jsonrpc.Client
}

// NewClient returns a client without connections.
func NewClient(opts ...jsonrpc.ClientOption) (*Client, error) {
	rpc, err := jsonrpc.NewClient(opts...)
	if err != nil {
		return nil, fmt.Errorf("create operator client: %w", err)
	}
	return &Client{
		rpc: rpc,
	}, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.rpc.Close()
}

// Status requests the status of the fleet from the entry at addr.
func (c *Client) Status(ctx context.Context, addr string, req StatusRequest) (Status, error) {
	var s Status
	err := c.rpc.Call(ctx, addr, MethodStatus, req, &s)
	return s, err
}

// Burn requests the counts against the objectives from the entry at addr.
func (c *Client) Burn(ctx context.Context, addr string, req BurnRequest) (BurnResponse, error) {
	var s BurnResponse
	err := c.rpc.Call(ctx, addr, MethodBurn, req, &s)
	return s, err
}

// Lift clears a crash suspect at the entry at addr, which propagates the change to other processes.
func (c *Client) Lift(ctx context.Context, addr string, f suspect.Fingerprint) (suspect.Record, error) {
	var resp LiftResponse
	err := c.rpc.Call(ctx, addr, MethodLift, LiftRequest{
		Fingerprint: f,
	}, &resp)
	return resp.Record, err
}
