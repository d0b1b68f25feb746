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
	// reloadPeriod is how often the files are read again.
	reloadPeriod = time.Minute
	// handshakeTimeout bounds a handshake.
	handshakeTimeout = 5 * time.Second
	// sessionsKept bounds the peers to which a handshake can be resumed.
	sessionsKept = 1024
	// warnBefore is how long before its end a certificate is warned of.
	warnBefore = 14 * 24 * time.Hour
	// warnPeriod is how often it is warned of.
	warnPeriod = time.Hour
	// refusalsLogged bounds the log lines about refused peers, each second.
	refusalsLogged = 10
)

// Mode says how far a fleet has come in turning TLS on.
type Mode string

// The modes, in the order in which a running fleet takes them.
const (
	// ModePermit accepts peers with and without TLS, and connects without it.
	ModePermit Mode = "permit"
	// ModePrefer accepts peers with and without TLS, and connects with it.
	ModePrefer Mode = "prefer"
	// ModeRequire accepts and makes connections with TLS only.
	ModeRequire Mode = "require"
)

// Option sets one property of credentials.
type Option func(*Credentials) error

// WithMode sets the mode; without it TLS is required.
func WithMode(mode Mode) Option {
	return func(c *Credentials) error {
		switch mode {
		case ModePermit, ModePrefer, ModeRequire:
			c.mode = mode
			return nil
		}
		return eris.Errorf("mode %q is none of permit, prefer, require", mode)
	}
}

// WithLog sets the log of refusals and reloads.
func WithLog(log *logrus.Entry) Option {
	return func(c *Credentials) error {
		c.log = log
		return nil
	}
}

// Credentials holds a process's certificate and whom it accepts.
type Credentials struct {
	files  Files
	self   Identity
	mode   Mode
	timers waxwingpick.Timers
	log    *logrus.Entry
	// callers says that peers are the system's callers, who need no identity.
	callers bool

	// reloadMu keeps an older reading of the files from being put in force after a newer one.
	reloadMu sync.Mutex
	warned   time.Time
	current  atomic.Pointer[configs]

	refusals  map[Reason]*atomic.Int64
	failures  atomic.Int64
	logLimits *rate.Limiter
}

// configs is what follows from one reading of the files. A change takes new ones, so that no session is resumed that
// rests on the former certificates.
type configs struct {
	material *material
	server   *tls.Config
	client   *tls.Config
}

// New reads the credentials of a process; it fails with a FileError where peers would not accept them.
func New(files Files, self Identity, timers waxwingpick.Timers, opts ...Option) (*Credentials, error) {
	return create(&Credentials{
		files:  files,
		self:   self,
		timers: timers,
	}, opts)
}

// NewForCallers reads the credentials that callers see; without authorities, callers need no certificate.
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
	c.logLimits = rate.NewLimiter(refusalsLogged, refusalsLogged)
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

// Start reads the files again from time to time until the returned function is called.
func (c *Credentials) Start() (stop func()) {
	if c == nil {
		return func() {}
	}
	return c.timers.Every(reloadPeriod, func(time.Time) {
		// The failure is logged and counted; the former certificate stays.
		_ = c.Reload()
	})
}

// Reload reads the files again. Where they can't be used, the former certificate stays in force and a FileError tells
// why. Connections that are open go on.
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
	former := c.current.Load()
	if former == nil || !bytes.Equal(former.material.raw, m.raw) {
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
		return refuse(ReasonExpired, "ended at %s", m.notAfter)
	}
	return nil
}

func (c *Credentials) warn(now, notAfter time.Time) {
	if notAfter.Sub(now) > warnBefore || now.Sub(c.warned) < warnPeriod {
		return
	}
	c.warned = now
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
			// Names of hosts prove nothing where addresses change hands; VerifyConnection checks the chain and the identity.
			InsecureSkipVerify: true,
			VerifyConnection:   c.verifier(m, x509.ExtKeyUsageServerAuth),
			ClientSessionCache: tls.NewLRUClientSessionCache(sessionsKept),
		},
	}
	if !c.callers {
		cfg.server.ClientAuth = tls.RequireAnyClientCert
		cfg.server.VerifyConnection = c.verifier(m, x509.ExtKeyUsageClientAuth)
		return cfg
	}
	// Callers come with the clients that they have.
	cfg.server.MinVersion = tls.VersionTLS12
	if m.authorities != nil {
		cfg.server.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.server.ClientCAs = m.authorities
	}
	return cfg
}

// verifier checks the peer of a new connection; unlike the library's own check it also runs for a resumed session.
func (c *Credentials) verifier(m *material, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		peer, err := m.verify(c.timers.Now(), state.PeerCertificates, usage)
		if err != nil {
			return err
		}
		if peer.Fleet() != c.self.Fleet() {
			return refuse(ReasonFleet, "%s is not of fleet %q", peer, c.self.Fleet())
		}
		return nil
	}
}

// Connect secures a connection to a peer that must have one of the roles; it closes one that it can't secure.
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
	peer, err := identityOf(conn.ConnectionState().PeerCertificates[0])
	if err == nil && !slices.Contains(roles, peer.role) {
		err = refuse(ReasonRole, "%s serves in place of %v", peer, roles)
	}
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("handshake with %s: %w", raw.RemoteAddr(), err)
	}
	return conn, nil
}

// Authorize fails with a RefusedError where the peer of an accepted connection has none of the roles. A peer without
// TLS passes, since the listener has let it in.
func (c *Credentials) Authorize(conn net.Conn, action string, roles []Role) error {
	secured, ok := conn.(*secureConn)
	if c == nil || !ok || slices.Contains(roles, secured.peer.role) {
		return nil
	}
	err := refuse(ReasonRole, "%s may not call %s", secured.peer, action)
	c.refused(conn.RemoteAddr(), err)
	return err
}

// refused counts a refusal, and logs it where not too many were.
func (c *Credentials) refused(peer net.Addr, err error) {
	refused := asRefused(err)
	c.refusals[refused.reason].Add(1)
	if !c.logLimits.AllowN(c.timers.Now(), 1) {
		return
	}
	c.log.WithFields(logrus.Fields{
		"peer":   peer.String(),
		"reason": refused.reason,
		"detail": refused.detail,
	}).Warn("peer refused by its certificate")
}

// NotAfter returns when the certificate in force ends; zero without credentials.
func (c *Credentials) NotAfter() time.Time {
	if c == nil || c.current.Load() == nil {
		return time.Time{}
	}
	return c.current.Load().material.notAfter.UTC()
}

// Refused returns how many peers were refused for the reason.
func (c *Credentials) Refused(reason Reason) int64 {
	return c.refusals[reason].Load()
}

// FailedReloads returns how often the files could not be taken.
func (c *Credentials) FailedReloads() int64 {
	return c.failures.Load()
}
