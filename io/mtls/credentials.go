package mtls

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"waxwingpick"
)

const (
	// reloadPeriod is the interval between reloads of the files.
	reloadPeriod = time.Minute
	// handshakeTimeout is the timeout of a TLS handshake.
	handshakeTimeout = 5 * time.Second
	// maxSessions is the size of the client session cache, in peers.
	maxSessions = 1024
	// warnBefore is the remaining validity of a certificate below which warnings are logged.
	warnBefore = 14 * 24 * time.Hour
	// warnPeriod is the minimum interval between two warnings.
	warnPeriod = time.Hour
	// maxRefusalLines is the maximum number of log lines about refused peers per second.
	maxRefusalLines = 10
)

// Mode is a stage in the rollout of TLS in a fleet.
type Mode string

// The modes, in the order of a rollout without downtime.
const (
	// ModePermit accepts connections with and without TLS, and connects without TLS.
	ModePermit Mode = "permit"
	// ModePrefer accepts connections with and without TLS, and connects with TLS.
	ModePrefer Mode = "prefer"
	// ModeRequire accepts and makes connections with TLS only.
	ModeRequire Mode = "require"
)

// Option configures Credentials.
type Option func(*Credentials) error

// WithMode sets the mode. The default is ModeRequire.
func WithMode(mode Mode) Option {
	return func(c *Credentials) error {
		switch mode {
		case ModePermit, ModePrefer, ModeRequire:
			c.mode = mode
			return nil
		}
		return eris.Errorf("mode %q is not one of permit, prefer, require", mode)
	}
}

// WithLog sets the log of refusals and reloads.
func WithLog(log *logrus.Entry) Option {
	return func(c *Credentials) error {
		c.log = log
		return nil
	}
}

// Credentials holds the certificate of a process and the rules by which it accepts peers.
type Credentials struct {
	files  Files
	self   Identity
	mode   Mode
	timers waxwingpick.Timers
	log    *logrus.Entry
	// callers reports that the peers are external callers, whose certificates carry no Identity.
	callers bool

	// reloadMu serializes reloads, so that older file contents never replace newer ones.
	reloadMu    sync.Mutex
	lastWarning time.Time
	current     atomic.Pointer[configs]

	refusals  map[Reason]*atomic.Int64
	failures  atomic.Int64
	logLimits *rate.Limiter
}

// configs holds the TLS configurations built from one read of the files. A changed file leads to new configurations, so
// that sessions of the previous certificates cannot be resumed.
type configs struct {
	material *material
	server   *tls.Config
	client   *tls.Config
}

// New reads the credentials of a process. It fails with a FileError if a file is unusable or if peers would reject the
// certificate.
func New(files Files, self Identity, timers waxwingpick.Timers, opts ...Option) (*Credentials, error) {
	return create(&Credentials{
		files:  files,
		self:   self,
		timers: timers,
	}, opts)
}

// NewForCallers reads the credentials that the entry presents to callers. If files names no authorities, callers need no
// certificate.
func NewForCallers(files Files, timers waxwingpick.Timers, opts ...Option) (*Credentials, error) {
	return create(&Credentials{
		files:   files,
		timers:  timers,
		callers: true,
	}, opts)
}

func create(c *Credentials, opts []Option) (*Credentials, error) {
	c.mode = ModeRequire
	c.log = logrus.NewEntry(logrus.StandardLogger())
	c.logLimits = rate.NewLimiter(maxRefusalLines, maxRefusalLines)
	c.refusals = make(map[Reason]*atomic.Int64)
	for _, r := range Reasons() {
		c.refusals[r] = &atomic.Int64{}
	}
	for _, opt := range opts {
		if err := opt(c); err != nil {
			return nil, fmt.Errorf("set up credentials: %w", err)
		}
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Start reloads the files periodically until the returned function is called.
func (c *Credentials) Start() (stop func()) {
	if c == nil {
		return func() {}
	}
	return c.timers.Every(reloadPeriod, func(time.Time) {
		// Reload logs and counts the error. The previous certificate stays in use.
		_ = c.Reload()
	})
}

// Reload reads the files again. If they are unusable, the previous certificate stays in use and Reload returns a
// FileError. Open connections are not affected.
func (c *Credentials) Reload() error {
	if c == nil {
		return nil
	}
	if err := c.load(); err != nil {
		c.failures.Add(1)
		c.log.WithFields(logrus.Fields{
			"error":    err.Error(),
			"notAfter": c.NotAfter(),
		}).Error("credentials not reloaded: the former ones stay")
		return err
	}
	return nil
}

func (c *Credentials) load() error {
	c.reloadMu.Lock()
	defer c.reloadMu.Unlock()
	now := c.timers.Now()
	m, err := c.files.read()
	if err != nil {
		return err
	}
	if err := c.check(now, m); err != nil {
		return fileError(c.files.Certificate, "%v", err)
	}
	previous := c.current.Load()
	if previous == nil || !bytes.Equal(previous.material.raw, m.raw) {
		c.current.Store(c.configs(m))
		c.log.WithFields(logrus.Fields{
			"certificate": c.files.Certificate,
			"notAfter":    m.notAfter,
		}).Info("credentials in force")
	}
	c.warn(now, m.notAfter)
	return nil
}

func (c *Credentials) check(now time.Time, m *material) error {
	if !c.callers {
		return m.checkSelf(now, c.self)
	}
	if now.After(m.notAfter) {
		return newRefusal(ReasonExpired, "expired at %s", m.notAfter)
	}
	return nil
}

func (c *Credentials) warn(now, notAfter time.Time) {
	if notAfter.Sub(now) > warnBefore || now.Sub(c.lastWarning) < warnPeriod {
		return
	}
	c.lastWarning = now
	c.log.WithFields(logrus.Fields{
		"certificate": c.files.Certificate,
		"notAfter":    notAfter,
	}).Warn("certificate ends soon")
}

func (c *Credentials) configs(m *material) *configs {
	cfg := &configs{
		material: m,
		server: &tls.Config{
			Certificates: []tls.Certificate{m.certificate},
			Time:         c.timers.Now,
			MinVersion:   tls.VersionTLS13,
		},
		client: &tls.Config{
			Certificates: []tls.Certificate{m.certificate},
			Time:         c.timers.Now,
			MinVersion:   tls.VersionTLS13,
			// Host names are not verified, since addresses are reassigned. VerifyConnection checks the chain and the
			// identity.
			InsecureSkipVerify: true,
			VerifyConnection:   c.verifier(m, x509.ExtKeyUsageServerAuth),
			ClientSessionCache: tls.NewLRUClientSessionCache(maxSessions),
		},
	}
	if !c.callers {
		cfg.server.ClientAuth = tls.RequireAnyClientCert
		cfg.server.VerifyConnection = c.verifier(m, x509.ExtKeyUsageClientAuth)
		return cfg
	}
	// Callers use clients that may not support TLS 1.3.
	cfg.server.MinVersion = tls.VersionTLS12
	if m.authorities != nil {
		cfg.server.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.server.ClientCAs = m.authorities
	}
	return cfg
}

// verifier returns a check of the peer of a new connection. Unlike tls.Config.VerifyPeerCertificate, it also runs for
// resumed sessions.
func (c *Credentials) verifier(m *material, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		peer, err := m.verify(c.timers.Now(), state.PeerCertificates, usage)
		if err != nil {
			return err
		}
		if peer.Fleet() != c.self.Fleet() {
			return newRefusal(ReasonFleet, "%s is not in fleet %q", peer, c.self.Fleet())
		}
		return nil
	}
}

// Connect runs the TLS handshake on a connection to a peer that must have one of the roles. It closes raw on failure.
func (c *Credentials) Connect(ctx context.Context, raw net.Conn, roles ...Role) (net.Conn, error) {
	if c == nil || c.mode == ModePermit {
		return raw, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Client(raw, c.current.Load().client)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, fmt.Errorf("handshake with %s: %w", raw.RemoteAddr(), err)
	}
	peer, err := parseIdentity(conn.ConnectionState().PeerCertificates[0])
	if err == nil && !slices.Contains(roles, peer.role) {
		err = newRefusal(ReasonRole, "server is %s, expected one of %v", peer, roles)
	}
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("handshake with %s: %w", raw.RemoteAddr(), err)
	}
	return conn, nil
}

// Authorize returns a RefusedError if the peer of an accepted connection has none of the roles. A peer without TLS is
// authorized, since the listener has accepted it in the current mode.
func (c *Credentials) Authorize(conn net.Conn, action string, roles []Role) error {
	secured, ok := conn.(*secureConn)
	if c == nil || !ok || slices.Contains(roles, secured.peer.role) {
		return nil
	}
	err := newRefusal(ReasonRole, "%s may not call %s", secured.peer, action)
	c.recordRefusal(conn.RemoteAddr(), err)
	return err
}

// recordRefusal counts a refusal and logs it within the rate limit.
func (c *Credentials) recordRefusal(peer net.Addr, err error) {
	refusal := toRefusal(err)
	c.refusals[refusal.reason].Add(1)
	if !c.logLimits.AllowN(c.timers.Now(), 1) {
		return
	}
	c.log.WithFields(logrus.Fields{
		"peer":   peer.String(),
		"reason": refusal.reason,
		"detail": refusal.detail,
	}).Warn("peer refused by its certificate")
}

// NotAfter returns the expiry time of the current certificate, zero without credentials.
func (c *Credentials) NotAfter() time.Time {
	if c == nil || c.current.Load() == nil {
		return time.Time{}
	}
	return c.current.Load().material.notAfter.UTC()
}

// Refused returns the number of refusals for the reason.
func (c *Credentials) Refused(reason Reason) int64 {
	return c.refusals[reason].Load()
}

// FailedReloads returns the number of failed reloads.
func (c *Credentials) FailedReloads() int64 {
	return c.failures.Load()
}
