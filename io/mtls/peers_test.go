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
	holder ca.Holder
	// foreign says that another authority has signed the certificate.
	foreign bool
	// reason is why a process of the fleet tanzplan refuses the peer; empty where it does not.
	reason mtls.Reason
	// naive says that a check of the chain alone lets the peer in.
	naive bool
}

func peers() []peer {
	expired := ca.HolderOf(side)
	expired.NotAfter = start.Add(-time.Second)
	two := ca.HolderOf(side)
	two.URIs = append(two.URIs, entry.URI())
	named := ca.Holder{
		URIs: []*url.URL{{
			Scheme: "spiffe",
			Host:   "tanzplan",
			Path:   "/sidecar",
		}},
	}
	return []peer{
		{
			name:   "own fleet",
			holder: ca.HolderOf(side),
			naive:  true,
		},
		{
			name:    "other authority",
			holder:  ca.HolderOf(side),
			foreign: true,
			reason:  mtls.ReasonAuthority,
		},
		{
			name:   "expired",
			holder: expired,
			reason: mtls.ReasonExpired,
		},
		{
			name:   "other fleet",
			holder: ca.HolderOf(mtls.NewIdentity("cacaotera", mtls.RoleSidecar)),
			reason: mtls.ReasonFleet,
			naive:  true,
		},
		{
			name:   "no fleet",
			holder: ca.HolderOf(mtls.NewIdentity("", mtls.RoleSidecar)),
			reason: mtls.ReasonFleet,
			naive:  true,
		},
		{
			name:   "unknown role",
			holder: ca.HolderOf(mtls.NewIdentity("tanzplan", "balancer")),
			reason: mtls.ReasonIdentity,
			naive:  true,
		},
		{
			name:   "two names",
			holder: two,
			reason: mtls.ReasonIdentity,
			naive:  true,
		},
		{
			name:   "no name",
			holder: named,
			reason: mtls.ReasonIdentity,
			naive:  true,
		},
	}
}

// TestForeignPeersAreRefused lets each peer connect to a process, and a process connect to it. The library's check of
// the chain alone lets other fleets in.
func TestForeignPeersAreRefused(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	clock := timer.NewManual(start)
	for _, p := range peers() {
		t.Run(p.name, func(t *testing.T) {
			issuer := own
			if p.foreign {
				issuer = foreign
			}
			cert := pair(t, issuer, p.holder)
			checkServer(t, process(t, own, entry, clock), cert, p.reason)
			checkClient(t, process(t, own, entry, clock), cert, p.reason)
			pool := x509.NewCertPool()
			pool.AppendCertsFromPEM(own.PEM())
			naive := tls.NewListener(listen(t), &tls.Config{
				Certificates: []tls.Certificate{pair(t, own, ca.HolderOf(entry))},
				Time:         clock.Now,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			})
			require.Equal(t, p.naive, echoes(tls.Client(dial(t, serve(t, naive)), stranger(cert))) == nil)
		})
	}
}

// stranger is a client that takes any server.
func stranger(certs ...tls.Certificate) *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true,
		// The library would keep back a certificate of an authority that the server does not name.
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
	err := echoes(tls.Client(dial(t, serve(t, c.Listen(listen(t)))), stranger(cert)))
	require.Equal(t, reason == "", err == nil, "%v", err)
	checkCounts(t, c, reason)
}

// checkCounts fails unless exactly one peer was refused for the reason, or none for an empty one.
func checkCounts(t *testing.T, c *mtls.Credentials, reason mtls.Reason) {
	t.Helper()
	want := make(map[mtls.Reason]int64)
	if reason != "" {
		want[reason] = 1
	}
	// A peer hears of its refusal before it is counted.
	require.Eventually(t, func() bool {
		got := make(map[mtls.Reason]int64)
		for _, r := range mtls.Reasons() {
			if n := c.Refused(r); n > 0 {
				got[r] = n
			}
		}
		return maps.Equal(want, got)
	}, patience, time.Millisecond, "%v", want)
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
		require.NoError(t, echoes(conn))
		return
	}
	require.ErrorIs(t, err, mtls.ErrRefused)
	var refused *mtls.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, reason, refused.Reason())
}

// TestHandshakesThatAreNoneOfOurs connects by other means than TLS 1.3 with a certificate.
func TestHandshakesThatAreNoneOfOurs(t *testing.T) {
	own := newAuthority(t)
	clock := timer.NewManual(start)
	cert := pair(t, own, ca.HolderOf(side))
	old := stranger(cert)
	old.MaxVersion = tls.VersionTLS12
	for name, cfg := range map[string]*tls.Config{
		"no certificate": stranger(),
		"old version":    old,
	} {
		t.Run(name, func(t *testing.T) {
			c := process(t, own, entry, clock)
			require.Error(t, echoes(tls.Client(dial(t, serve(t, c.Listen(listen(t)))), cfg)))
			checkCounts(t, c, mtls.ReasonHandshake)
		})
	}
	t.Run("half a handshake holds up nobody", func(t *testing.T) {
		c := process(t, own, entry, clock)
		addr := serve(t, c.Listen(listen(t)))
		_, err := dial(t, addr).Write([]byte{22, 3})
		require.NoError(t, err)
		dial(t, addr)
		require.NoError(t, echoes(tls.Client(dial(t, addr), stranger(cert))))
	})
	t.Run("another role serves", func(t *testing.T) {
		c := process(t, own, entry, clock)
		addr := serve(t, process(t, own, side, clock).Listen(listen(t)))
		_, err := c.Connect(t.Context(), dial(t, addr), mtls.RoleEntry)
		var refused *mtls.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, mtls.ReasonRole, refused.Reason())
	})
}

// TestPeersToldOfTheirRefusal sees that a client knows a refusal of its certificate from a broken connection.
func TestPeersToldOfTheirRefusal(t *testing.T) {
	own := newAuthority(t)
	client, server := listen(t), process(t, own, entry, timer.NewManual(start))
	defer client.Close()
	refused := make(chan struct{})
	go func() {
		raw, err := client.Accept()
		if err != nil {
			return
		}
		defer raw.Close()
		// The connection stays open until the alert was read, as a reset would overtake it.
		_ = tls.Server(raw, &tls.Config{
			Certificates:     []tls.Certificate{pair(t, own, ca.HolderOf(side))},
			ClientAuth:       tls.RequireAnyClientCert,
			VerifyConnection: func(tls.ConnectionState) error { return errors.New("not this one") },
		}).Handshake()
		<-refused
	}()
	conn, err := server.Connect(t.Context(), dial(t, client.Addr().String()), mtls.RoleSidecar)
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	close(refused)
	require.True(t, mtls.RefusedByPeer(err), "%v", err)
}

// TestModesOfARollout connects processes of all modes with each other. Neighbours in the order of a rollout must
// understand each other, so that it can be taken one process after the other.
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
				passes := secure && to != off || !secure && to != mtls.ModeRequire
				if j == i || j == i+1 || j == i-1 {
					require.True(t, passes)
				}
				server := inMode(t, side, to)
				addr := serve(t, server.Listen(listen(t)))
				if !passes && to == off {
					// A plain server echoes the handshake, which is none.
					_, err := inMode(t, entry, from).Connect(t.Context(), dial(t, addr), mtls.RoleSidecar)
					require.Error(t, err)
					return
				}
				conn, err := inMode(t, entry, from).Connect(t.Context(), dial(t, addr), mtls.RoleSidecar)
				require.NoError(t, err)
				require.Equal(t, passes, echoes(conn) == nil)
				if !passes {
					checkCounts(t, server, mtls.ReasonPlain)
				}
			})
		}
	}
}
