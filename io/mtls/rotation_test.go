package mtls_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/mtls"
)

// rotation is a process whose files change while a peer connects to it.
type rotation struct {
	t       *testing.T
	trusted *ca.Authority
	foreign *ca.Authority
	clock   *timer.Manual
	files   mtls.Files
	process *mtls.Credentials
	peer    *mtls.Credentials
	addr    string
	open    []net.Conn
	// written is the expiry time of the certificate in the files, zero if they are unusable. loaded is that of the
	// certificate in use.
	written time.Time
	loaded  time.Time
	failed  int64
	issued  int
}

func newRotation(t *testing.T) *rotation {
	r := &rotation{
		t:       t,
		trusted: newAuthority(t),
		foreign: newAuthority(t),
		clock:   timer.NewManual(start),
	}
	r.files.Certificate = filepath.Join(t.TempDir(), "process.crt")
	r.write(r.trusted, entry)
	var err error
	r.process, err = mtls.New(r.files, entry, r.clock, discardLog())
	require.NoError(t, err)
	r.loaded = r.written
	t.Cleanup(r.process.Start())
	r.peer = process(t, r.trusted, sidecar, r.clock)
	r.addr = serve(t, r.process.Listen(listen(t)))
	return r
}

// write issues a certificate with a unique expiry time and writes it to the files.
func (r *rotation) write(issuer *ca.Authority, self mtls.Identity) {
	r.issued++
	holder := ca.SubjectOf(self)
	holder.NotAfter = start.Add(100*24*time.Hour + time.Duration(r.issued)*time.Hour)
	files, err := issuer.Write(filepath.Dir(r.files.Certificate), "process", holder)
	require.NoError(r.t, err)
	r.files = files
	r.written = holder.NotAfter
}

// corruptions returns functions that make the files unusable, alone or in combination. Each expects valid files.
func (r *rotation) corruptions() []func() {
	keep := func(path string, issuer *ca.Authority, self mtls.Identity) func() {
		return func() {
			kept, err := os.ReadFile(path)
			require.NoError(r.t, err)
			r.write(issuer, self)
			require.NoError(r.t, os.WriteFile(path, kept, 0o600))
		}
	}
	return []func(){
		keep(r.files.Key, r.trusted, entry),
		keep(r.files.Certificate, r.trusted, entry),
		keep(r.files.Authorities, r.foreign, entry),
		func() { r.write(r.trusted, mtls.NewIdentity("cacaotera", mtls.RoleEntry)) },
		func() { r.write(r.trusted, sidecar) },
		func() { require.NoError(r.t, os.Truncate(r.files.Certificate, 100)) },
		func() { require.NoError(r.t, os.Truncate(r.files.Authorities, 0)) },
		func() { require.NoError(r.t, os.Remove(r.files.Key)) },
	}
}

// corrupt leaves files that cannot be used.
func (r *rotation) corrupt(t *rapid.T) {
	r.write(r.trusted, entry)
	rapid.SampledFrom(r.corruptions()).Draw(t, "mix")()
	r.written = time.Time{}
}

// reloaded updates the expected state after the process has read the files.
func (r *rotation) reloaded() {
	if r.written.IsZero() {
		r.failed++
		return
	}
	r.loaded = r.written
}

func (r *rotation) reload(t *rapid.T) {
	err := r.process.Reload()
	if r.written.IsZero() {
		require.ErrorIs(t, err, mtls.ErrFiles)
		require.ErrorContains(t, err, filepath.Dir(r.files.Certificate))
	} else {
		require.NoError(t, err)
	}
	r.reloaded()
}

// wait advances the clock until the process reloads the files.
func (r *rotation) wait(*rapid.T) {
	r.clock.Advance(time.Minute)
	r.reloaded()
}

func (r *rotation) connect(t *rapid.T) {
	raw, err := net.Dial("tcp", r.addr)
	require.NoError(t, err)
	r.t.Cleanup(func() {
		raw.Close()
	})
	conn, err := r.peer.Connect(r.t.Context(), raw, mtls.RoleEntry)
	require.NoError(t, err)
	end := conn.(*tls.Conn).ConnectionState().PeerCertificates[0].NotAfter
	require.True(t, r.loaded.Equal(end), "got %s, expected %s", end, r.loaded)
	r.open = append(r.open, conn)
}

// check is the invariant: the last valid certificate is in use, and open connections still work.
func (r *rotation) check(t *rapid.T) {
	require.True(t, r.loaded.Equal(r.process.NotAfter()))
	require.Equal(t, r.failed, r.process.FailedReloads())
	for _, c := range r.open {
		require.NoError(t, checkEcho(c))
	}
}

// TestRotationCutsNothing replaces the files of a process by valid and unusable ones, in random order with reloads
// and connections.
func TestRotationCutsNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRotation(t)
		rt.Repeat(map[string]func(*rapid.T){
			"rotate":  func(*rapid.T) { r.write(r.trusted, entry) },
			"spoil":   r.corrupt,
			"reload":  r.reload,
			"wait":    r.wait,
			"connect": r.connect,
			"":        r.check,
		})
	})
}

// TestNewRejectsUnusableFiles checks that New reports unusable and expired credentials with file and reason.
func TestNewRejectsUnusableFiles(t *testing.T) {
	r := newRotation(t)
	for _, corruption := range r.corruptions() {
		r.write(r.trusted, entry)
		corruption()
		_, err := mtls.New(r.files, entry, r.clock, discardLog())
		var file *mtls.FileError
		require.ErrorAs(t, err, &file)
		require.NotEmpty(t, file.Reason())
		require.Equal(t, filepath.Dir(r.files.Certificate), filepath.Dir(file.File()))
	}
	r.write(r.trusted, entry)
	_, err := mtls.New(r.files, entry, timer.NewManual(r.written.Add(time.Second)), discardLog())
	require.ErrorContains(t, err, string(mtls.ReasonExpired))
}

// TestAuthorityRollsOneProcessAfterTheOther moves two processes from one authority to another, one process at a time,
// with a phase in which both are trusted. The processes can connect at each step. Afterwards, a session of the old
// authority is not resumed.
func TestAuthorityRollsOneProcessAfterTheOther(t *testing.T) {
	clock := timer.NewManual(start)
	old, next := newAuthority(t), newAuthority(t)
	both := append(old.PEM(), next.PEM()...)
	type node struct {
		files mtls.Files
		*mtls.Credentials
		addr string
	}
	var nodes []node
	for _, self := range []mtls.Identity{entry, sidecar} {
		files, err := old.Write(t.TempDir(), "process", ca.SubjectOf(self))
		require.NoError(t, err)
		c, err := mtls.New(files, self, clock, discardLog())
		require.NoError(t, err)
		nodes = append(nodes, node{
			files:       files,
			Credentials: c,
			addr:        serve(t, c.Listen(listen(t))),
		})
	}
	connectBoth := func() {
		for i := range nodes {
			conn, err := nodes[i].Connect(t.Context(), dial(t, nodes[1-i].addr), mtls.RoleEntry, mtls.RoleSidecar)
			require.NoError(t, err)
			require.NoError(t, checkEcho(conn))
		}
	}
	step := func(issuer *ca.Authority, trusted []byte) {
		for i, self := range []mtls.Identity{entry, sidecar} {
			if issuer != nil {
				_, err := issuer.Write(filepath.Dir(nodes[i].files.Certificate), "process", ca.SubjectOf(self))
				require.NoError(t, err)
			}
			require.NoError(t, os.WriteFile(nodes[i].files.Authorities, trusted, 0o600))
			require.NoError(t, nodes[i].Reload())
			connectBoth()
		}
	}
	connectBoth()
	oldClient := anyServerConfig(pair(t, old, ca.SubjectOf(sidecar)))
	oldClient.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	for range 2 {
		require.NoError(t, checkEcho(tls.Client(dial(t, nodes[0].addr), oldClient)))
	}
	step(nil, both)
	step(next, both)
	require.NoError(t, checkEcho(tls.Client(dial(t, nodes[0].addr), oldClient)))
	step(nil, next.PEM())
	require.Error(t, checkEcho(tls.Client(dial(t, nodes[0].addr), oldClient)))
	checkCounts(t, nodes[0].Credentials, mtls.ReasonAuthority)
}

// TestSessionsAreResumed checks that later connections to a peer resume the session until its certificate changes.
func TestSessionsAreResumed(t *testing.T) {
	r := newRotation(t)
	for _, resumed := range []bool{false, true, true} {
		conn, err := r.peer.Connect(t.Context(), dial(t, r.addr), mtls.RoleEntry)
		require.NoError(t, err)
		require.NoError(t, checkEcho(conn))
		require.Equal(t, resumed, conn.(*tls.Conn).ConnectionState().DidResume)
		// Reloading unchanged files keeps the sessions.
		require.NoError(t, r.process.Reload())
	}
	r.write(r.trusted, entry)
	require.NoError(t, r.process.Reload())
	conn, err := r.peer.Connect(t.Context(), dial(t, r.addr), mtls.RoleEntry)
	require.NoError(t, err)
	require.False(t, conn.(*tls.Conn).ConnectionState().DidResume)
}
