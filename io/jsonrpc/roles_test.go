package jsonrpc_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/mtls"
)

func credentials(t *testing.T, a *ca.Authority, role mtls.Role) *mtls.Credentials {
	t.Helper()
	c, err := a.Credentials(t.TempDir(), mtls.NewIdentity("tanzplan", role), timer.NewManual(time.Now()))
	require.NoError(t, err)
	return c
}

// TestMethodsAreDeniedByRole calls each method with a certificate of each role. Calls by a role that the method does not
// list must not reach the handler.
func TestMethodsAreDeniedByRole(t *testing.T) {
	a, err := ca.New(time.Now())
	require.NoError(t, err)
	methods := map[string][]mtls.Role{
		"probe":    {mtls.RoleEntry},
		"exchange": {mtls.RoleEntry, mtls.RoleSidecar},
		"lift":     {mtls.RoleOperator},
		"unlisted": nil,
	}
	var handled atomic.Int64
	serverCredentials := credentials(t, a, mtls.RoleSidecar)
	s := jsonrpc.NewServer("tanzplan", jsonrpc.WithServerCredentials(serverCredentials))
	for name, roles := range methods {
		jsonrpc.HandleTyped(s, name, func(context.Context, echo) (echo, error) {
			handled.Add(1)
			return echo{}, nil
		}, roles...)
	}
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer s.Close()
	var allowed, denied int64
	for _, role := range []mtls.Role{mtls.RoleEntry, mtls.RoleSidecar, mtls.RoleOperator} {
		c, err := jsonrpc.NewClient(jsonrpc.Fleet("tanzplan"), jsonrpc.WithCredentials(credentials(t, a, role)))
		require.NoError(t, err)
		defer c.Close()
		for name, roles := range methods {
			err := c.Call(t.Context(), addr, name, echo{}, nil)
			if slices.Contains(roles, role) {
				require.NoError(t, err, "%s by %s", name, role)
				allowed++
			} else {
				require.ErrorIs(t, err, mtls.ErrRefused, "%s by %s", name, role)
				require.ErrorIs(t, err, jsonrpc.ErrNotHandled)
				denied++
			}
		}
	}
	require.Equal(t, allowed, handled.Load())
	require.Equal(t, denied, serverCredentials.Refused(mtls.ReasonRole))
	plain, err := jsonrpc.NewClient(jsonrpc.Fleet("tanzplan"))
	require.NoError(t, err)
	defer plain.Close()
	require.Error(t, plain.Call(t.Context(), addr, "exchange", echo{}, nil))
	require.Equal(t, allowed, handled.Load())
}
