package platform_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/platform"
)

// callsOfPlatform returns the call that reads the list of instances.
func callsOfPlatform(t *testing.T) rawhttp.Calls {
	return rawhttp.Calls{"list": {
		Status: "200 OK",
		Fields: "Content-Type: application/json\r\n",
		Body:   `[]`,
		Send: func(addr string) error {
			c, err := platform.New(addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Instances(t.Context())
			return err
		},
		Lost: platform.ErrUnavailable,
	}}
}

// TestMalformedHeaderIsNoList has the platform send headers with malformed field names.
func TestMalformedHeaderIsNoList(t *testing.T) {
	t.Parallel()
	callsOfPlatform(t).CheckMalformed(t)
}

// TestStatusBelow100IsNoList has the platform send statuses that fasthttp takes for a success.
func TestStatusBelow100IsNoList(t *testing.T) {
	t.Parallel()
	callsOfPlatform(t).CheckStatus(t)
}
