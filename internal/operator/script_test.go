package operator_test

import (
	"context"
	"net/url"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/core/timer"
	"waxwingpick/internal/operator"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/internal/standin/etcd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"waxwingpick": func() {
			env := operator.DefaultEnv()
			env.Now = func() time.Time {
				return time.Unix(1_900_000_000, 0)
			}
			env.NewID = func() string {
				return "change-" + os.Getenv("CHANGE")
			}
			os.Exit(operator.Main(context.Background(), env, os.Args[1:]))
		},
	})
}

// Keys of the values in a script's environment.
const (
	serverKey    = "server"
	authorityKey = "authority"
)

// TestCommands runs each script against a separate stand-in for the key-value service. Scripts can use these commands:
//
//	fault NAME [NUMBER]    sets a fault of the key-value service
//	plan                   stores a plan
//	certify NAME URI...    issues a certificate
//	exits CODE ARGS...     runs the client and checks its exit code
//	calls KIND NUMBER...   checks the calls to the key-value service since the last check
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("WAXWINGPICK_UPDATE_SCRIPTS") != "",
		Setup: func(env *testscript.Env) error {
			server, err := etcd.New(etcd.WithTimers(timer.NewManual(time.Unix(0, 0))))
			if err != nil {
				return err
			}
			addr, err := server.Start("127.0.0.1:0")
			if err != nil {
				return err
			}
			env.Defer(server.Close)
			env.Values[serverKey] = server
			if env.Values[authorityKey], err = ca.New(time.Now()); err != nil {
				return err
			}
			dir, err := os.Getwd()
			if err != nil {
				return err
			}
			env.Setenv("SAMPLES", dir+"/../../config")
			env.Setenv("WAXWINGPICK_KEYVALUE", addr)
			env.Setenv("WAXWINGPICK_OPERATOR", "anna")
			env.Setenv("CHANGE", "1")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fault": fault,
			"plan":  storePlan,
			"exits": exits,
			"calls": calls,

			"certify": certify,
		},
	})
}

func fault(ts *testscript.TestScript, _ bool, args []string) {
	server := ts.Value(serverKey).(*etcd.Server)
	switch args[0] {
	case "none":
		server.SetFaults(etcd.Faults{})
	case "down":
		server.SetFaults(etcd.Faults{
			Down: true,
		})
	case "lost":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		server.SetFaults(etcd.Faults{
			LoseResponses: n,
		})
	case "cut":
		server.SetFaults(etcd.Faults{
			Cut: true,
		})
	default:
		ts.Fatalf("unknown fault %s", args[0])
	}
}

func storePlan(ts *testscript.TestScript, _ bool, _ []string) {
	record := `{"service":"stundenplan-llm","revision":4,"changeId":"c","epoch":2,"holder":"at-ost-a-entry-1",
"configRevision":1,"nextOrder":8,"targets":[{"id":"llm-1","instance":"at-ost-a-engine-1","zone":"at-ost-a",
"order":{"number":7,"config":{"role":"prefill","model":"stundenplan","adapter":"","version":"1"}}}]}`
	kv := ts.Value(serverKey).(*etcd.Server).Store().Client()
	_, err := kv.CompareAndSwap(context.Background(), plan.Key("stundenplan-llm"), 0, []byte(record), 0)
	ts.Check(err)
}

func certify(ts *testscript.TestScript, _ bool, args []string) {
	holder := ca.Subject{
		NotAfter: time.Unix(1_900_000_000, 0).Add(30 * 24 * time.Hour),
	}
	for _, text := range args[1:] {
		uri, err := url.Parse(text)
		ts.Check(err)
		holder.URIs = append(holder.URIs, uri)
	}
	_, err := ts.Value(authorityKey).(*ca.Authority).Write(ts.MkAbs("."), args[0], holder)
	ts.Check(err)
}

// exits runs the client and checks its exit code. The script can then check the output in stdout and stderr.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("waxwingpick", args[1:]...)
	code := 0
	var exitCoder interface{ ExitCode() int }
	if err != nil {
		var ok bool
		if exitCoder, ok = err.(interface{ ExitCode() int }); !ok {
			ts.Fatalf("run: %v", err)
		}
		code = exitCoder.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// calls checks the number of calls of each kind since the last check. There must be no calls of a kind that is not listed.
func calls(ts *testscript.TestScript, _ bool, args []string) {
	store := ts.Value(serverKey).(*etcd.Server).Store()
	defer store.ResetCalls()
	want := make(map[string]string)
	for i := 0; i+1 < len(args); i += 2 {
		want[args[i]] = args[i+1]
	}
	for _, kind := range waxwingpick.KeyValueCalls() {
		count := strconv.FormatInt(store.Calls(kind), 10)
		if expected, ok := want[kind.String()]; count != expected && (ok || count != "0") {
			ts.Fatalf("%s calls of kind %s, want %q", count, kind, expected)
		}
	}
}
