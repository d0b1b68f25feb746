package sidecar_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/mtls"
	"waxwingpick/io/sidecar"
)

// postStatus posts an attempt to the URL with a client certificate and returns the HTTP status.
func postStatus(t *testing.T, cert tls.Certificate, url string) int {
	t.Helper()
	transport := &http.Transport{
		TLSClientConfig: &tls.Config{
			InsecureSkipVerify: true,
			Certificates:       []tls.Certificate{cert},
		},
	}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	require.NoError(t, err)
	req.Header.Set("Waxwing-Attempt", `{"id":"a","fleet":"tanzplan","target":"stundenplan-llm-0","remainingMillis":1000}`)
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestPathsAreDeniedByRole requests each path of a sidecar with the certificate of each role. Only entries may send
// attempts. Other sidecars may fetch and free KV cache.
func TestPathsAreDeniedByRole(t *testing.T) {
	const entry, sidecarRole, operator, monitor = mtls.RoleEntry, mtls.RoleSidecar, mtls.RoleOperator, mtls.RoleMonitor
	a, err := ca.New(time.Now())
	require.NoError(t, err)
	credentials := func(role mtls.Role) *mtls.Credentials {
		c, err := a.Credentials(t.TempDir(), mtls.NewIdentity(self.Fleet, role), timer.NewManual(time.Now()))
		require.NoError(t, err)
		return c
	}
	h := &testHandler{}
	s, addr := serveWithLimit(t, h, "127.0.0.1:0", sidecar.MaxAttemptSize, timer.NewManual(time.Unix(0, 0)), sidecar.ServeWith(credentials(sidecarRole)))
	defer func() {
		require.NoError(t, s.Shutdown(context.Background()))
	}()
	for _, role := range []mtls.Role{entry, sidecarRole, operator, monitor} {
		cert, err := a.Pair(ca.SubjectOf(mtls.NewIdentity(self.Fleet, role)))
		require.NoError(t, err)
		for path, roles := range map[string][]mtls.Role{
			"/attempts":        {entry},
			"/attempts/resume": {entry},
			"/calls":           {entry},
			"/prefill":         {entry, sidecarRole},
			"/export":          {entry, sidecarRole},
			"/attempts/cancel": {entry, sidecarRole},
			"/metrics":         {operator, monitor},
			"/unknown":         nil,
		} {
			want := http.StatusForbidden
			if slices.Contains(roles, role) {
				want = http.StatusOK
			}
			require.Equal(t, want, postStatus(t, cert, "https://"+addr+path), "%s by %s", path, role)
		}
	}
	c, err := sidecar.NewClient(self.Fleet, maxBody, sidecar.WithCredentials(credentials(sidecarRole)))
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Call(t.Context(), addr, attempt("b"), nil)
	require.ErrorIs(t, err, mtls.ErrRefused)
	_, err = client(t).Call(t.Context(), addr, attempt("b"), nil)
	require.Error(t, err)
	require.EqualValues(t, 1, h.calls.Load())
}
