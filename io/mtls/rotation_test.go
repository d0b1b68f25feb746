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

// rotation is a process whose files change while others talk to it.
type rotation struct {
	t       *testing.T
	own     *ca.Authority
	other   *ca.Authority
	clock   *timer.Manual
	files   mtls.Files
	process *mtls.Credentials
	partner *mtls.Credentials
	addr    string
	open    []net.Conn
	// written is the end of the certificate in the files, zero where they are unusable; inForce that of the one in use.
	written time.Time
	inForce time.Time
	failed  int64
	issued  int
}

func newRotation(t *testing.T) *rotation {
	r := &rotation{
		t:     t,
		own:   newAuthority(t),
		other: newAuthority(t),
		clock: timer.NewManual(start),
	}
	r.files.Certificate = filepath.Join(t.TempDir(), "process.crt")
	r.write(r.own, entry)
	var err error
	r.process, err = mtls.New(r.files, entry, r.clock, quietly())
	require.NoError(t, err)
	r.inForce = r.written
	t.Cleanup(r.process.Start())
	r.partner = process(t, r.own, side, r.clock)
	r.addr = serve(t, r.process.Listen(listen(t)))
	return r
}

// write issues a certificate with an end of its own into the files.
func (r *rotation) write(issuer *ca.Authority, self mtls.Identity) {
	r.issued++
	holder := ca.HolderOf(self)
	holder.NotAfter = start.Add(100*24*time.Hour + time.Duration(r.issued)*time.Hour)
	files, err := issuer.Write(filepath.Dir(r.files.Certificate), "process", holder)
	require.NoError(r.t, err)
	r.files = files
	r.written = holder.NotAfter
}

// mixes are ways to leave files that can't be used together; each follows a good pair.
func (r *rotation) mixes() []func() {
	keep := func(path string, issuer *ca.Authority, self mtls.Identity) func() {
		return func() {
			kept, err := os.ReadFile(path)
			require.NoError(r.t, err)
			r.write(issuer, self)
			require.NoError(r.t, os.WriteFile(path, kept, 0o600))
		}
	}
	return []func(){
		keep(r.files.Key, r.own, entry),
		keep(r.files.Certificate, r.own, entry),
		keep(r.files.Authorities, r.other, entry),
		func() { r.write(r.own, mtls.NewIdentity("cacaotera", mtls.RoleEntry)) },
		func() { r.write(r.own, side) },
		func() { require.NoError(r.t, os.Truncate(r.files.Certificate, 100)) },
		func() { require.NoError(r.t, os.Truncate(r.files.Authorities, 0)) },
		func() { require.NoError(r.t, os.Remove(r.files.Key)) },
	}
}

// spoil leaves files that can't be used.
func (r *rotation) spoil(t *rapid.T) {
	r.write(r.own, entry)
	rapid.SampledFrom(r.mixes()).Draw(t, "mix")()
	r.written = time.Time{}
}

// reloaded is what has to be in force after the files were read.
func (r *rotation) reloaded() {
	if r.written.IsZero() {
		r.failed++
		return
	}
	r.inForce = r.written
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

// wait lets the process read the files by itself.
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
	conn, err := r.partner.Connect(r.t.Context(), raw, mtls.RoleEntry)
	require.NoError(t, err)
	end := conn.(*tls.Conn).ConnectionState().PeerCertificates[0].NotAfter
	require.True(t, r.inForce.Equal(end), "%s in place of %s", end, r.inForce)
	r.open = append(r.open, conn)
}

// check is the oracle: what was accepted last is in force, and every connection goes on.
func (r *rotation) check(t *rapid.T) {
	require.True(t, r.inForce.Equal(r.process.NotAfter()))
	require.Equal(t, r.failed, r.process.FailedReloads())
	for _, c := range r.open {
		require.NoError(t, echoes(c))
	}
}

// TestRotationCutsNothing rotates the files of a process, also to ones that can't be used, in any order with reloads
// and connections.
func TestRotationCutsNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRotation(t)
		rt.Repeat(map[string]func(*rapid.T){
			"rotate":  func(*rapid.T) { r.write(r.own, entry) },
			"spoil":   r.spoil,
			"reload":  r.reload,
			"wait":    r.wait,
			"connect": r.connect,
			"":        r.check,
		})
	})
}

// TestCredentialsThatPeersWouldRefuse are told at the start, by file and reason.
func TestCredentialsThatPeersWouldRefuse(t *testing.T) {
	r := newRotation(t)
	for _, mix := range r.mixes() {
		r.write(r.own, entry)
		mix()
		_, err := mtls.New(r.files, entry, r.clock, quietly())
		var file *mtls.FileError
		require.ErrorAs(t, err, &file)
		require.NotEmpty(t, file.Reason())
		require.Equal(t, filepath.Dir(r.files.Certificate), filepath.Dir(file.File()))
	}
	r.write(r.own, entry)
	_, err := mtls.New(r.files, entry, timer.NewManual(r.written.Add(time.Second)), quietly())
	require.ErrorContains(t, err, string(mtls.ReasonExpired))
}

// TestAuthorityRollsOneProcessAfterTheOther takes two processes from one authority to another by way of both: at each
// step they reach each other, and afterwards a session of the former authority opens nothing.
func TestAuthorityRollsOneProcessAfterTheOther(t *testing.T) {
	clock := timer.NewManual(start)
	former, next := newAuthority(t), newAuthority(t)
	both := append(former.PEM(), next.PEM()...)
	type node struct {
		files mtls.Files
		*mtls.Credentials
		addr string
	}
	var nodes []node
	for _, self := range []mtls.Identity{entry, side} {
		files, err := former.Write(t.TempDir(), "process", ca.HolderOf(self))
		require.NoError(t, err)
		c, err := mtls.New(files, self, clock, quietly())
		require.NoError(t, err)
		nodes = append(nodes, node{
			files:       files,
			Credentials: c,
			addr:        serve(t, c.Listen(listen(t))),
		})
	}
	reach := func() {
		for i := range nodes {
			conn, err := nodes[i].Connect(t.Context(), dial(t, nodes[1-i].addr), mtls.RoleEntry, mtls.RoleSidecar)
			require.NoError(t, err)
			require.NoError(t, echoes(conn))
		}
	}
	step := func(issuer *ca.Authority, trusted []byte) {
		for i, self := range []mtls.Identity{entry, side} {
			if issuer != nil {
				_, err := issuer.Write(filepath.Dir(nodes[i].files.Certificate), "process", ca.HolderOf(self))
				require.NoError(t, err)
			}
			require.NoError(t, os.WriteFile(nodes[i].files.Authorities, trusted, 0o600))
			require.NoError(t, nodes[i].Reload())
			reach()
		}
	}
	reach()
	left := stranger(pair(t, former, ca.HolderOf(side)))
	left.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	for range 2 {
		require.NoError(t, echoes(tls.Client(dial(t, nodes[0].addr), left)))
	}
	step(nil, both)
	step(next, both)
	require.NoError(t, echoes(tls.Client(dial(t, nodes[0].addr), left)))
	step(nil, next.PEM())
	require.Error(t, echoes(tls.Client(dial(t, nodes[0].addr), left)))
	checkCounts(t, nodes[0].Credentials, mtls.ReasonAuthority)
}

// TestSessionsAreResumed sees that a second connection to a peer needs no full handshake.
func TestSessionsAreResumed(t *testing.T) {
	r := newRotation(t)
	for _, resumed := range []bool{false, true, true} {
		conn, err := r.partner.Connect(t.Context(), dial(t, r.addr), mtls.RoleEntry)
		require.NoError(t, err)
		require.NoError(t, echoes(conn))
		require.Equal(t, resumed, conn.(*tls.Conn).ConnectionState().DidResume)
		// Files that have not changed leave the sessions alone.
		require.NoError(t, r.process.Reload())
	}
	r.write(r.own, entry)
	require.NoError(t, r.process.Reload())
	conn, err := r.partner.Connect(t.Context(), dial(t, r.addr), mtls.RoleEntry)
	require.NoError(t, err)
	require.False(t, conn.(*tls.Conn).ConnectionState().DidResume)
}
