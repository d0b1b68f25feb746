package rapidtest

import (
	"flag"

	"pgregory.net/rapid"
)

// Fails reports whether rapid falsifies the property; tests use it to see a naive variant caught.
func Fails(t rapid.TB, prop func(*rapid.T)) bool {
	t.Helper()
	shrinkTime := flag.Lookup("rapid.shrinktime")
	before := shrinkTime.Value.String()
	setText("rapid.shrinktime", "0s")
	defer setText("rapid.shrinktime", before)
	checks := flag.Lookup("rapid.checks").Value.String()
	set("rapid.checks", allChecks)
	defer setText("rapid.checks", checks)
	r := &recorder{
		TB: t,
	}
	rapid.Check(r, prop)
	return r.failed
}

// recorder notes a failure in place of reporting it.
type recorder struct {
	rapid.TB
	failed bool
}

// Logf drops the message.
func (r *recorder) Logf(string, ...any) {}

// Log drops the message.
func (r *recorder) Log(...any) {}

// Errorf notes a failure.
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Error notes a failure.
func (r *recorder) Error(...any) { r.failed = true }

// Fatalf notes a failure.
func (r *recorder) Fatalf(string, ...any) { r.failed = true }

// Fatal notes a failure.
func (r *recorder) Fatal(...any) { r.failed = true }

// FailNow notes a failure.
func (r *recorder) FailNow() { r.failed = true }

// Fail notes a failure.
func (r *recorder) Fail() { r.failed = true }

// Failed reports whether a failure was noted.
func (r *recorder) Failed() bool { return r.failed }
