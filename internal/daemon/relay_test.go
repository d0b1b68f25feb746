package daemon_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
)

// relay forwards connections between two processes and can block either direction.
type relay = loopback.Relay

const (
	forward = loopback.Forward
	back    = loopback.Backward
)

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	r, err := loopback.NewRelay(target)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}
