package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

const (
	defaultTimeout = 2 * time.Second
	maxListBytes   = 4 << 20
	listPath       = "/instances"
)

// ErrUnavailable is returned if the list could not be read.
var ErrUnavailable = eris.New("platform list unavailable")

var _ waxwingpick.Platform = (*Client)(nil)

type settings struct {
	timeout time.Duration
	skipped func(err error)
}

// Option configures a client.
type Option func(*settings) error

// Timeout bounds each read of the list.
func Timeout(d time.Duration) Option {
	return http1.Positive("timeout", d, func(s *settings) *time.Duration {
		return &s.timeout
	})
}

// Skipped sets a function that is called for each row that names no usable instance.
func Skipped(skipped func(err error)) Option {
	return func(s *settings) error {
		s.skipped = skipped
		return nil
	}
}

// Client reads the list of one platform.
type Client struct {
	cfg  settings
	http *http1.Client
}

// New returns a client of the platform at the given IP address and port.
func New(addr string, opts ...Option) (*Client, error) {
	c := &Client{
		cfg: settings{
			timeout: defaultTimeout,
			skipped: func(error) {},
		},
		http: http1.New(addr, maxListBytes),
	}
	if err := http1.Apply(&c.cfg, opts); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	return c, nil
}

// Close closes every connection. Running reads fail.
func (c *Client) Close() {
	c.http.Close()
}

// Instances reads the list. Every failure is an ErrUnavailable.
func (c *Client) Instances(ctx context.Context) ([]waxwingpick.Instance, error) {
	a, err := c.http.Send(ctx, http1.Request{
		Method:  http.MethodGet,
		URI:     listPath,
		Timeout: c.cfg.timeout,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer a.Close()
	if a.Status() != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, a.Status())
	}
	body, err := a.Body(maxListBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	list, err := decodeList(body, c.cfg.skipped)
	if err != nil {
		return nil, fmt.Errorf("%w: decode: %w", ErrUnavailable, err)
	}
	return list, nil
}
