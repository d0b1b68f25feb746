package operator

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/io/etcd"
	"waxwingpick/io/platform"
)

// Environment variables that are used if a flag is not set.
const (
	// EnvKeyValue is the variable for the address of the key-value service.
	EnvKeyValue = "WAXWINGPICK_KEYVALUE"
	// EnvOperator is the variable for the operator's name.
	EnvOperator = "WAXWINGPICK_OPERATOR"
)

// Env is the environment of a command. Tests replace parts of it.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(name string) string
	Now    func() time.Time
	// NewID returns a new change ID.
	NewID func() string
	// Dial returns a client for the key-value service with the given time-out for each call.
	Dial func(addr string, timeout time.Duration) (waxwingpick.KeyValue, error)
	// Platform returns a client for the platform's list of instances.
	Platform func(addr string) (waxwingpick.Platform, error)
}

// DefaultEnv returns the environment of the current process.
func DefaultEnv() Env {
	return Env{
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Getenv:   os.Getenv,
		Now:      time.Now,
		NewID:    uuid.NewString,
		Dial:     dial,
		Platform: dialPlatform,
	}
}

func dial(addr string, timeout time.Duration) (waxwingpick.KeyValue, error) {
	return etcd.New(addr, etcd.WithTimeout(timeout))
}

func dialPlatform(addr string) (waxwingpick.Platform, error) {
	return platform.New(addr, platform.Skipped(func(err error) {
		fmt.Fprintln(os.Stderr, "waxwingpick: skipped:", err)
	}))
}

// operatorName returns the operator's name from the environment, or "unknown" if it is not set.
func (e Env) operatorName() string {
	for _, name := range []string{EnvOperator, "USER"} {
		if value := e.Getenv(name); value != "" {
			return value
		}
	}
	return "unknown"
}
