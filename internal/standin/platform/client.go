package platform

import (
	"context"
	"fmt"
	"slices"

	"waxwingpick"
)

const listPath = "/instances"

var _ waxwingpick.Platform = (*Client)(nil)

// Client reads the list without HTTP, under the same fault switches.
type Client struct {
	platform *Platform
}

// Client returns a client without HTTP.
func (p *Platform) Client() *Client {
	return &Client{
		platform: p,
	}
}

// Instances returns the served list.
func (c *Client) Instances(ctx context.Context) ([]waxwingpick.Instance, error) {
	conn, end, err := c.platform.server.Connect(ctx)
	if err != nil {
		return nil, fmt.Errorf("read instances: %w", err)
	}
	defer end()
	var list []waxwingpick.Instance
	err = c.platform.server.Call(conn, listPath, func() error {
		list = c.platform.Served()
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read instances: %w", err)
	}
	return slices.Clone(list), nil
}
