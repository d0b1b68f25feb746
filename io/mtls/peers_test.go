package mtls_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"maps"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/mtls"
)

// peer is the holder of a certificate.
type peer struct {
	name   string
	holder ca.Subject
	// foreign reports that another authority has signed the certificate.
	foreign bool
	// reason is the reason for which a process of the fleet tanzplan refuses the peer, empty if it accepts it.
	reason mtls.Reason
	// chainOnly reports that a check of the certificate chain alone accepts the peer.
	chainOnly bool
}

func peers() []peer {
	expired := ca.SubjectOf(sidecar)
	expired.NotAfter = start.Add(-time.Second)
	two := ca.SubjectOf(sidecar)
	two.URIs = append(two.URIs, entry.URI())
	named := ca.Subject{
		URIs: []*url.URL{{
			Scheme: "spiffe",
			Host:   "tanzplan",
			Path:   "/sidecar",
		}},
	}
	return []peer{
		{
			name:      "own fleet",
			holder:    ca.SubjectOf(sidecar),
			chainOnly: true,
		},
		{
			name:    "other authority",
			holder:  ca.SubjectOf(sidecar),
			foreign: true,
			reason:  mtls.ReasonAuthority,
		},
		{
			name:   "expired",
			holder: expired,
			reason: mtls.ReasonExpired,
		},
		{
			name:      "other fleet",
			holder:    ca.SubjectOf(mtls.NewIdentity("cacaotera", mtls.RoleSidecar)),
			reason:    mtls.ReasonFleet,
			chainOnly: true,
		},
		{
			name:      "no fleet",
			holder:    ca.SubjectOf(mtls.NewIdentity("", mtls.RoleSidecar)),
			reason:    mtls.ReasonFleet,
			chainOnly: true,
		},
		{
			name:      "unknown role",
			holder:    ca.SubjectOf(mtls.NewIdentity("tanzplan", "balancer")),
			reason:    mtls.ReasonIdentity,
			chainOnly: true,
		},
		{
			name:      "two names",
			holder:    two,
			reason:    mtls.ReasonIdentity,
			chainOnly: true,
		},
		{
			name:      "no name",
			holder:    named,
			reason:    mtls.ReasonIdentity,
			chainOnly: true,
		},
	}
}

// TestForeignPeersAreRefused connects each peer to a process and a process to each peer. It also checks that the chain
// verification of crypto/tls alone would accept peers of other fleets.
func TestForeignPeersAreRefused(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	clock := timer.NewManual(start)
	for _, p := range peers() {
		t.Run(p.name, func(t *testing.T) {
			issuer := trusted
			if p.foreign {
				issuer = foreign
			}
			cert := pair(t, issuer, p.holder)
			checkServer(t, process(t, trusted, entry, clock), cert, p.reason)
			checkClient(t, process(t, trusted, entry, clock), cert, p.reason)
			pool := x509.NewCertPool()
			pool.AppendCertsFromPEM(trusted.PEM())
			chainOnly := tls.NewListener(listen(t), &tls.Config{
				Certificates: []tls.Certificate{pair(t, trusted, ca.SubjectOf(entry))},
				Time:         clock.Now,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			})
			require.Equal(t, p.chainOnly, checkEcho(tls.Client(dial(t, serve(t, chainOnly)), anyServerConfig(cert))) == nil)
		})
	}
}

// anyServerConfig returns the configuration of a client that accepts any server.
func anyServerConfig(certs ...tls.Certificate) *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true,
		// By default, crypto/tls does not send a certificate of an authority that the server does not list.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if len(certs) == 0 {
				return &tls.Certificate{}, nil
			}
			return &certs[0], nil
		},
	}
}

func checkServer(t *testing.T, c *mtls.Credentials, cert tls.Certificate, reason mtls.Reason) {
	t.Helper()
	err := checkEcho(tls.Client(dial(t, serve(t, c.Listen(listen(t)))), anyServerConfig(cert)))
	require.Equal(t, reason == "", err == nil, "%v", err)
	checkCounts(t, c, reason)
}

// checkCounts fails unless exactly one peer was refused, for the given reason, or none if reason is empty.
func checkCounts(t *testing.T, c *mtls.Credentials, reason mtls.Reason) {
	t.Helper()
	want := make(map[mtls.Reason]int64)
	if reason != "" {
		want[reason] = 1
	}
	// The peer receives the alert before the refusal is counted.
	require.Eventually(t, func() bool {
		got := make(map[mtls.Reason]int64)
		for _, r := range mtls.Reasons() {
			if n := c.Refused(r); n > 0 {
				got[r] = n
			}
		}
		return maps.Equal(want, got)
	}, eventTimeout, time.Millisecond, "%v", want)
}

func checkClient(t *testing.T, c *mtls.Credentials, cert tls.Certificate, reason mtls.Reason) {
	t.Helper()
	ln := tls.NewListener(listen(t), &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAnyClientCert,
	})
	conn, err := c.Connect(t.Context(), dial(t, serve(t, ln)), mtls.RoleSidecar)
	if reason == "" {
		require.NoError(t, err)
		require.NoError(t, checkEcho(conn))
		return
	}
	require.ErrorIs(t, err, mtls.ErrRefused)
	var refused *mtls.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, reason, refused.Reason())
}

// TestHandshakesThatAreNoneOfOurs connects without a certificate, with TLS 1.2, with an incomplete handshake and to a
// server with another role.
func TestHandshakesThatAreNoneOfOurs(t *testing.T) {
	trusted := newAuthority(t)
	clock := timer.NewManual(start)
	cert := pair(t, trusted, ca.SubjectOf(sidecar))
	old := anyServerConfig(cert)
	old.MaxVersion = tls.VersionTLS12
	for name, cfg := range map[string]*tls.Config{
		"no certificate": anyServerConfig(),
		"old version":    old,
	} {
		t.Run(name, func(t *testing.T) {
			c := process(t, trusted, entry, clock)
			require.Error(t, checkEcho(tls.Client(dial(t, serve(t, c.Listen(listen(t)))), cfg)))
			checkCounts(t, c, mtls.ReasonHandshake)
		})
	}
	t.Run("incomplete handshake does not delay others", func(t *testing.T) {
		c := process(t, trusted, entry, clock)
		addr := serve(t, c.Listen(listen(t)))
		_, err := dial(t, addr).Write([]byte{22, 3})
		require.NoError(t, err)
		dial(t, addr)
		require.NoError(t, checkEcho(tls.Client(dial(t, addr), anyServerConfig(cert))))
	})
	t.Run("server has another role", func(t *testing.T) {
		c := process(t, trusted, entry, clock)
		addr := serve(t, process(t, trusted, sidecar, clock).Listen(listen(t)))
		_, err := c.Connect(t.Context(), dial(t, addr), mtls.RoleEntry)
		var refused *mtls.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, mtls.ReasonRole, refused.Reason())
	})
}

// TestRefusedByPeer checks that a client can tell the rejection of its certificate from a connection error.
func TestRefusedByPeer(t *testing.T) {
	trusted := newAuthority(t)
	client, server := listen(t), process(t, trusted, entry, timer.NewManual(start))
	defer client.Close()
	refused := make(chan struct{})
	go func() {
		raw, err := client.Accept()
		if err != nil {
			return
		}
		defer raw.Close()
		// The connection stays open until the client has read the alert, since a TCP reset would discard it.
		_ = tls.Server(raw, &tls.Config{
			Certificates:     []tls.Certificate{pair(t, trusted, ca.SubjectOf(sidecar))},
			ClientAuth:       tls.RequireAnyClientCert,
			VerifyConnection: func(tls.ConnectionState) error { return errors.New("certificate rejected") },
		}).Handshake()
		<-refused
	}()
	conn, err := server.Connect(t.Context(), dial(t, client.Addr().String()), mtls.RoleSidecar)
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	close(refused)
	require.True(t, mtls.RefusedByPeer(err), "%v", err)
}

// TestModesOfARollout connects processes of all modes with each other. Modes that are adjacent in the order of a rollout
// must be able to connect, so that processes can be switched one at a time.
func TestModesOfARollout(t *testing.T) {
	const off = mtls.Mode("")
	order := []mtls.Mode{off, mtls.ModePermit, mtls.ModePrefer, mtls.ModeRequire}
	a := newAuthority(t)
	clock := timer.NewManual(start)
	inMode := func(t *testing.T, self mtls.Identity, mode mtls.Mode) *mtls.Credentials {
		if mode == off {
			return nil
		}
		return process(t, a, self, clock, mtls.WithMode(mode))
	}
	for i, from := range order {
		for j, to := range order {
			t.Run(string(from+" to "+to), func(t *testing.T) {
				secure := from == mtls.ModePrefer || from == mtls.ModeRequire
				connects := secure && to != off || !secure && to != mtls.ModeRequire
				if j == i || j == i+1 || j == i-1 {
					require.True(t, connects)
				}
				server := inMode(t, sidecar, to)
				addr := serve(t, server.Listen(listen(t)))
				if !connects && to == off {
					// A plain server echoes the client hello, which is not a valid response.
					_, err := inMode(t, entry, from).Connect(t.Context(), dial(t, addr), mtls.RoleSidecar)
					require.Error(t, err)
					return
				}
				conn, err := inMode(t, entry, from).Connect(t.Context(), dial(t, addr), mtls.RoleSidecar)
				require.NoError(t, err)
				require.Equal(t, connects, checkEcho(conn) == nil)
				if !connects {
					checkCounts(t, server, mtls.ReasonPlain)
				}
			})
		}
	}
}
