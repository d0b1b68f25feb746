package mtls_test

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
	"waxwingpick/internal/rapidtest"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/mtls"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 20)
}

// eventTimeout is the timeout of waits for asynchronous events.
const eventTimeout = 30 * time.Second

var (
	start   = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	entry   = mtls.NewIdentity("tanzplan", mtls.RoleEntry)
	sidecar = mtls.NewIdentity("tanzplan", mtls.RoleSidecar)
)

func newAuthority(t *testing.T) *ca.Authority {
	t.Helper()
	a, err := ca.New(start)
	require.NoError(t, err)
	return a
}

func discardLog() mtls.Option {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return mtls.WithLog(logrus.NewEntry(log))
}

// process returns the credentials of a process with its files in a separate directory.
func process(t *testing.T, a *ca.Authority, self mtls.Identity, clock *timer.Manual, opts ...mtls.Option) *mtls.Credentials {
	t.Helper()
	c, err := a.Credentials(t.TempDir(), self, clock, opts...)
	require.NoError(t, err)
	return c
}

// serve echoes the bytes of each accepted connection until the test ends, and returns the address.
func serve(t testing.TB, ln net.Listener) string {
	t.Helper()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
	})
	return ln.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln
}

func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() {
		c.Close()
	})
	return c
}

// checkEcho sends a byte and returns an error unless a byte is received.
func checkEcho(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// pair returns a certificate with its key.
func pair(t *testing.T, a *ca.Authority, h ca.Subject) tls.Certificate {
	t.Helper()
	p, err := a.Pair(h)
	require.NoError(t, err)
	return p
}
