package daemon_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/demo"
	"waxwingpick/internal/operator"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/mtls"
	entries "waxwingpick/io/operator"
	"waxwingpick/io/sidecar"
)

// tlsFleet is a fleet whose processes have certificates.
type tlsFleet struct {
	*fleet
	authority *ca.Authority
	dir       string
	mode      mtls.Mode
}

func newTLSFleet(t *testing.T, mode mtls.Mode) *tlsFleet {
	a, err := ca.New(time.Now())
	require.NoError(t, err)
	s := &tlsFleet{
		fleet:     newFleet(t),
		authority: a,
		dir:       t.TempDir(),
		mode:      mode,
	}
	s.extraSettings = s.tlsLines
	return s
}

// issue writes the files of a process's certificate and returns their paths. The role in the certificate is the prefix of
// the process's name, or sidecar.
func (s *tlsFleet) issue(name string) mtls.Files {
	role := mtls.RoleSidecar
	for _, r := range []mtls.Role{mtls.RoleEntry, mtls.RoleOperator} {
		if strings.HasPrefix(name, string(r)) {
			role = r
		}
	}
	files, err := s.authority.Write(s.dir, name, ca.SubjectOf(mtls.NewIdentity(s.name, role)))
	require.NoError(s.t, err)
	return files
}

// tlsLines returns the TLS section of the settings of a process. It is empty if no mode is set.
func (s *tlsFleet) tlsLines(name string) []string {
	if s.mode == "" {
		return nil
	}
	files := s.issue(name)
	return []string{
		"tls:", "  certificate: " + files.Certificate, "  key: " + files.Key,
		"  authorities: " + files.Authorities, "  mode: " + string(s.mode),
	}
}

// enableCallerTLS enables TLS also for callers. Entries present the certificate that they use towards other processes.
func (s *tlsFleet) enableCallerTLS() {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(s.authority.PEM())
	cfg := &tls.Config{
		RootCAs: pool,
	}
	s.callerOptions = []demo.CallerOption{demo.OverTLS(cfg)}
	s.scheme = "https://"
	s.http = &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: cfg,
		},
	}
	s.extraSettings = func(name string) []string {
		lines := s.tlsLines(name)
		if strings.HasPrefix(name, "entry") {
			lines = append(lines, "callerTls:", "  certificate: "+filepath.Join(s.dir, name+".crt"),
				"  key: "+filepath.Join(s.dir, name+".key"))
		}
		return lines
	}
}

// credentialsFor returns credentials of the fleet for a role.
func (s *tlsFleet) credentialsFor(role mtls.Role) *mtls.Credentials {
	c, err := s.authority.Credentials(s.t.TempDir(), mtls.NewIdentity(s.name, role), timer.NewManual(time.Now()))
	require.NoError(s.t, err)
	return c
}

// runOperator runs the operators' client and returns its exit code and output.
func (s *tlsFleet) runOperator(args ...string) (int, string) {
	files := s.issue("operator")
	settings := filepath.Join(s.dir, "operator.yaml")
	text := "fleet: " + s.name + "\ntls:\n  certificate: " + files.Certificate + "\n  key: " + files.Key +
		"\n  authorities: " + files.Authorities + "\n"
	require.NoError(s.t, os.WriteFile(settings, []byte(text), 0o600))
	var out bytes.Buffer
	env := operator.DefaultEnv()
	env.Stdout = &out
	env.Stderr = &out
	env.Getenv = func(name string) string {
		return map[string]string{
			operator.EnvKeyValue: s.etcd,
			operator.EnvPlatform: s.platform,
			operator.EnvSettings: settings,
		}[name]
	}
	return operator.Main(s.t.Context(), env, args), out.String()
}

// reload sends SIGHUP to the processes, so that they read their settings and certificates again.
func (s *tlsFleet) reload(procs ...*proc) {
	for _, p := range procs {
		require.NoError(s.t, p.cmd.Process.Signal(syscall.SIGHUP))
	}
}

func (s *tlsFleet) metrics() string {
	resp, err := s.http.Get(s.scheme + s.listens[0] + "/metrics")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	return string(body)
}

// TestTLSEverywhere runs separate processes that require TLS between processes and from callers.
func TestTLSEverywhere(t *testing.T) {
	const length = 200
	s := newTLSFleet(t, mtls.ModeRequire)
	s.enableCallerTLS()
	s.start(1, 1)
	entry, side := s.entries[0], s.sidecars[0]

	t.Run("rotation in the middle of a stream", func(t *testing.T) {
		before := tokens(s.engines[0])
		results := s.startChat("reshape the season", length)
		s.await(func() bool {
			return tokens(s.engines[0]) > before+5
		})
		s.issue("entry-0")
		s.issue("engine-0")
		s.reload(entry, side)
		s.await(func() bool {
			return strings.Contains(entry.log.String(), "settings reloaded") && strings.Contains(side.log.String(), "settings reloaded")
		})
		result := <-results
		require.NoError(t, result.err)
		require.Equal(t, expectedText("reshape the season", length), result.text)
		result = <-s.startChat("who swapped tuesday salsa", 5)
		require.NoError(t, result.err)
	})

	t.Run("an operator switches the preset", func(t *testing.T) {
		code, out := s.runOperator("preset", "switch", "peak")
		require.Zero(t, code, out)
		s.await(func() bool {
			code, out = s.runOperator("status")
			return code == 0 && strings.Contains(out, "is in force at 2 of 2 processes")
		})
		require.Contains(t, out, "certificate ends in 364 days")
	})

	t.Run("foreign certificates and plain clients", func(t *testing.T) {
		foreign, err := ca.New(time.Now())
		require.NoError(t, err)
		ours := mtls.NewIdentity(s.name, mtls.RoleOperator)
		theirs := mtls.NewIdentity("cacaotera", mtls.RoleOperator)
		for _, addr := range []string{s.instances[0].Control, s.instances[0].Data, s.instances[1].Control} {
			s.requireRefused(addr, foreign, ours)
			s.requireRefused(addr, s.authority, theirs)
		}
		require.Error(t, s.call(nil, s.instances[1].Control, "status"))
		s.await(func() bool {
			m := s.metrics()
			return strings.Contains(m, `waxwingpick_certificate_refused_total{reason="authority",side="processes"} 1`) &&
				strings.Contains(m, `waxwingpick_certificate_refused_total{reason="fleet",side="processes"} 1`) &&
				strings.Contains(m, `waxwingpick_certificate_refused_total{reason="plain",side="processes"} 1`)
		})
		require.Contains(t, entry.log.String(), "peer refused by its certificate")
		_, err = http.Get("http://" + s.listens[0] + "/healthz")
		require.Error(t, err)
	})

	t.Run("roles", s.checkRoles)

	t.Run("a bad new pair keeps the old one", func(t *testing.T) {
		key := filepath.Join(s.dir, "entry-0.key")
		s.issue("engine-0")
		bad, err := os.ReadFile(filepath.Join(s.dir, "engine-0.key"))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(key, bad, 0o600))
		s.reload(entry)
		s.await(func() bool {
			return strings.Contains(entry.log.String(), "credentials not reloaded: the former ones stay")
		})
		require.Contains(t, entry.log.String(), key)
		result := <-s.startChat("who swapped tuesday salsa", 5)
		require.NoError(t, result.err)
	})
}

// call sends a control call with empty parameters.
func (s *tlsFleet) call(c *mtls.Credentials, addr, method string) error {
	client, err := jsonrpc.NewClient(jsonrpc.WithCredentials(c))
	require.NoError(s.t, err)
	defer client.Close()
	return client.Call(s.t.Context(), addr, method, struct{}{}, nil)
}

// requireRefused connects with a certificate of the issuer and requires that the server refuses it. It does not verify
// the server's certificate.
func (s *tlsFleet) requireRefused(addr string, issuer *ca.Authority, self mtls.Identity) {
	pair, err := issuer.Pair(ca.SubjectOf(self))
	require.NoError(s.t, err)
	conn, err := tls.Dial("tcp", addr, &tls.Config{
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &pair, nil
		},
	})
	require.NoError(s.t, err)
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	require.True(s.t, mtls.RefusedByPeer(err), "%v", err)
}

// checkRoles calls every control method of both processes with the certificate of each role.
func (s *tlsFleet) checkRoles(t *testing.T) {
	const entry, sidecars, operators = mtls.RoleEntry, mtls.RoleSidecar, mtls.RoleOperator
	ours := s.name + "/"
	methods := []map[string][]mtls.Role{
		{
			ours + sidecar.MethodProbe:    {entry},
			ours + sidecar.MethodFence:    {entry},
			ours + sidecar.MethodSuspects: {entry},
			ours + jsonrpc.MethodExchange: {entry, sidecars},
		},
		{
			entries.MethodStatus:          {operators},
			entries.MethodBurn:            {operators},
			entries.MethodLift:            {operators},
			ours + entries.MethodLift:     {operators},
			ours + sidecar.MethodSuspects: {entry},
			ours + sidecar.MethodClaims:   {entry},
			ours + sidecar.MethodQuota:    {entry},
			ours + jsonrpc.MethodExchange: {entry, sidecars},
		},
	}
	for _, role := range []mtls.Role{entry, sidecars, operators} {
		c := s.credentialsFor(role)
		for i, instance := range s.instances {
			for method, allowed := range methods[i] {
				err := s.call(c, instance.Control, method)
				if slices.Contains(allowed, role) {
					require.NotErrorIs(t, err, jsonrpc.ErrNotHandled, "%s by %s", method, role)
				} else {
					require.ErrorIs(t, err, mtls.ErrRefused, "%s by %s", method, role)
				}
			}
		}
	}
}

// TestTLSIsRolledOut moves a running fleet from plain connections to required TLS, mode by mode and process by process.
// Callers send requests throughout, and none may fail.
func TestTLSIsRolledOut(t *testing.T) {
	s := newTLSFleet(t, "")
	s.start(2, 2)
	// serving is the index of the entry to which callers send their requests.
	var serving atomic.Int32
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var requests, failed atomic.Int64
	var first atomic.Value
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			caller := demo.NewCaller("studio-2")
			defer caller.Close()
			for ctx.Err() == nil {
				result, err := caller.Chat(context.Background(), s.listens[serving.Load()], model, "reshape the season", 20)
				requests.Add(1)
				if err != nil || result.Text != expectedText("reshape the season", 20) {
					failed.Add(1)
					first.CompareAndSwap(nil, err)
				}
			}
		})
	}
	restart := func(p **proc, name string) {
		path := (*p).args[2]
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		plain, _, _ := strings.Cut(string(text), "\ntls:")
		require.NoError(t, os.WriteFile(path, []byte(plain+"\n"+strings.Join(s.tlsLines(name), "\n")), 0o600))
		require.NoError(t, (*p).cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, (*p).cmd.Wait())
		*p = launch(t, "waxwingpickd", (*p).args...)
	}
	// An engine that is still changing its configuration after the start serves no requests. The other engine must not stop
	// before that change is complete.
	processes := s.awaitUsable("", nil)
	for _, mode := range []mtls.Mode{mtls.ModePermit, mtls.ModePrefer, mtls.ModeRequire} {
		s.mode = mode
		for i, name := range []string{"engine-0", "engine-1"} {
			restart(&s.sidecars[i], name)
			processes = s.awaitUsable(name, processes)
		}
		for i, name := range []string{"entry-0", "entry-1"} {
			serving.Store(int32(1 - i))
			restart(&s.entries[i], name)
			s.await(func() bool {
				return s.ready(s.listens[i])
			})
		}
		t.Logf("%s: %d requests, %d failed", mode, requests.Load(), failed.Load())
	}
	stop()
	callers.Wait()
	require.Zero(t, failed.Load(), "of %d: %v", requests.Load(), first.Load())
	require.Positive(t, requests.Load())
	for _, instance := range s.instances {
		require.Error(t, s.call(nil, instance.Control, s.name+"/"+jsonrpc.MethodExchange))
	}
}

// awaitUsable waits until all entries can use all targets and, if a restarted target is named, until its sidecar is a new
// process compared to the former ones. It returns the process ID of each target's sidecar. The entries must still accept
// plain calls.
func (s *tlsFleet) awaitUsable(restarted string, former map[waxwingpick.TargetID]string) map[waxwingpick.TargetID]string {
	s.t.Helper()
	client, err := entries.NewClient()
	require.NoError(s.t, err)
	defer client.Close()
	processes := make(map[waxwingpick.TargetID]string)
	usable := func(t entries.TargetStatus) bool {
		processes[t.Target], _, _ = strings.Cut(t.Incarnation, ".")
		renewed := string(t.Target) != restarted || processes[t.Target] != former[t.Target]
		return renewed && t.Usable && t.HasReport && t.Active.Model != "" && t.Active == t.Desired
	}
	for i := range s.entries {
		s.await(func() bool {
			status, err := client.Status(s.t.Context(), s.instances[len(s.sidecars)+i].Control, entries.StatusRequest{})
			return err == nil && len(slices.DeleteFunc(status.Targets, func(t entries.TargetStatus) bool {
				return !usable(t)
			})) == len(s.sidecars)
		})
	}
	return processes
}
