package etcd_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	adapter "waxwingpick/io/etcd"
)

// callsOfStore returns the calls that read responses of the key-value service.
func callsOfStore(t *testing.T) rawhttp.Calls {
	const typeJSON = "Content-Type: application/json\r\n"
	ctx := t.Context()
	calls := make(rawhttp.Calls)
	for name, row := range map[string]struct {
		status, body string
		lost, sound  error
		call         func(c *adapter.Client) error
	}{
		"read": {
			status: "200 OK",
			body:   `{"kvs":[]}`,
			lost:   waxwingpick.ErrUnavailable,
			call: func(c *adapter.Client) error {
				_, err := c.Get(ctx, "k")
				return err
			},
		},
		"write": {
			status: "200 OK",
			body:   `{"succeeded":true}`,
			lost:   waxwingpick.ErrUnknownOutcome,
			call: func(c *adapter.Client) error {
				return c.CompareAndDelete(ctx, "k", 1)
			},
		},
		"conflict": {
			status: "200 OK",
			body:   `{"succeeded":false}`,
			lost:   waxwingpick.ErrUnknownOutcome,
			sound:  waxwingpick.ErrConflict,
			call: func(c *adapter.Client) error {
				return c.CompareAndDelete(ctx, "k", 1)
			},
		},
		"refused write": {
			status: "429 Too Many Requests",
			body:   `{"code":8,"message":"etcdserver: too many requests"}`,
			lost:   waxwingpick.ErrUnknownOutcome,
			sound:  waxwingpick.ErrUnavailable,
			call: func(c *adapter.Client) error {
				return c.CompareAndDelete(ctx, "k", 1)
			},
		},
		"renewal of an ended lease": {
			status: "200 OK",
			body:   `{"result":{"TTL":"0"}}`,
			lost:   waxwingpick.ErrUnknownOutcome,
			sound:  waxwingpick.ErrLeaseExpired,
			call: func(c *adapter.Client) error {
				_, err := c.KeepAlive(ctx, 1)
				return err
			},
		},
	} {
		calls[name] = rawhttp.Call{
			Status: row.status,
			Fields: typeJSON,
			Body:   row.body,
			Sound:  row.sound,
			Lost:   row.lost,
			Send: func(addr string) error {
				c, err := adapter.New(addr)
				require.NoError(t, err)
				defer c.Close()
				return row.call(c)
			},
		}
	}
	calls["watch"] = rawhttp.Call{
		Status: "200 OK",
		Fields: typeJSON,
		Body:   `{"result":{"events":[{"kv":{"key":"aw=="}}]}}`,
		// A watch whose response ends is an error too, so that a key ends it here.
		Sound: context.Canceled,
		Lost:  waxwingpick.ErrUnavailable,
		Send: func(addr string) error {
			c, err := adapter.New(addr)
			require.NoError(t, err)
			defer c.Close()
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			return c.Watch(ctx, "k", func(string) { cancel() })
		},
	}
	return calls
}

// TestMalformedHeaderIsNoResponseOfTheKeyValueService has the service send headers with malformed field names.
func TestMalformedHeaderIsNoResponseOfTheKeyValueService(t *testing.T) {
	t.Parallel()
	callsOfStore(t).CheckMalformed(t)
}

// TestStatusBelow100IsNoResponseOfTheKeyValueService has the service send statuses that fasthttp takes for a success.
func TestStatusBelow100IsNoResponseOfTheKeyValueService(t *testing.T) {
	t.Parallel()
	callsOfStore(t).CheckStatus(t)
}
