package operator

import (
	"io"
	"os"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/io/etcd"
	"waxwingpick/io/platform"
)

// Environment variables that stand in for flags.
const (
	// EnvKeyValue holds the address of the key-value service.
	EnvKeyValue = "WAXWINGPICK_KEYVALUE"
	// EnvOperator holds the operator's name.
	EnvOperator = "WAXWINGPICK_OPERATOR"
)

// Env is what a command meets outside of itself.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(name string) string
	Now    func() time.Time
	// NewID returns a new change ID.
	NewID func() string
	// Dial returns a client of the key-value service whose calls take at most the timeout.
	Dial func(addr string, timeout time.Duration) (waxwingpick.KeyValue, error)
	// Platform returns a client of the platform's list.
	Platform func(addr string) (waxwingpick.Platform, error)
}

// DefaultEnv returns the process's own environment.
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
	return platform.New(addr)
}

// operatorName returns the operator's name where no flag gives it.
func (e Env) operatorName() string {
	for _, name := range []string{EnvOperator, "USER"} {
		if value := e.Getenv(name); value != "" {
			return value
		}
	}
	return "unknown"
}
