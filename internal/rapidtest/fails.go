package rapidtest

import (
	"flag"

	"pgregory.net/rapid"
)

// Fails reports whether rapid falsifies the property. Tests use it to check that a naive variant is detected.
func Fails(t rapid.TB, prop func(*rapid.T)) bool {
	t.Helper()
	shrinkTime := flag.Lookup("rapid.shrinktime")
	before := shrinkTime.Value.String()
	setFlag("rapid.shrinktime", "0s")
	defer setFlag("rapid.shrinktime", before)
	checks := flag.Lookup("rapid.checks").Value.String()
	setInt("rapid.checks", fullChecks)
	defer setFlag("rapid.checks", checks)
	r := &recorder{
		TB: t,
	}
	rapid.Check(r, prop)
	return r.failed
}

// recorder records a failure instead of reporting it.
type recorder struct {
	rapid.TB
	failed bool
}

// Logf discards the message.
func (r *recorder) Logf(string, ...any) {}

// Log discards the message.
func (r *recorder) Log(...any) {}

// Errorf records a failure.
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Error records a failure.
func (r *recorder) Error(...any) { r.failed = true }

// Fatalf records a failure.
func (r *recorder) Fatalf(string, ...any) { r.failed = true }

// Fatal records a failure.
func (r *recorder) Fatal(...any) { r.failed = true }

// FailNow records a failure.
func (r *recorder) FailNow() { r.failed = true }

// Fail records a failure.
func (r *recorder) Fail() { r.failed = true }

// Failed reports whether a failure was recorded.
func (r *recorder) Failed() bool { return r.failed }
