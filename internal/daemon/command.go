package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"waxwingpick/io/jsonlines"
	"waxwingpick/io/yaml"
)

var _ subcommands.Command = (*command[EntrySettings])(nil)

// settings is implemented by the settings of entries and sidecars.
type settings interface {
	// logLevel returns the minimum level of log lines. An empty level means info.
	logLevel() string
	// memoryLimit returns the memory limit in bytes. Zero means the default.
	memoryLimit() int
	// addresses returns the addresses of the key-value service and of the platform's list of instances.
	addresses() (keyValue, platform string)
}

// command is a subcommand that runs one kind of process with the settings of type S.
type command[S settings] struct {
	name     string
	synopsis string
	usage    string
	// newProcess creates the process without starting it.
	newProcess func(s S, deps *dependencies, lines *jsonlines.Log) (process, error)

	path string
}

// Name returns the subcommand's name.
func (c *command[S]) Name() string { return c.name }

// Synopsis returns a one-line description of the subcommand.
func (c *command[S]) Synopsis() string { return c.synopsis }

// Usage returns the help text of the subcommand.
func (c *command[S]) Usage() string { return c.usage }

// SetFlags defines the subcommand's flags.
func (c *command[S]) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "the settings file, in YAML")
}

// Execute runs the process until SIGTERM or SIGINT stops it.
func (c *command[S]) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.usage)
		return subcommands.ExitUsageError
	}
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "waxwingpickd:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command[S]) run() error {
	s, err := c.load()
	if err != nil {
		return err
	}
	limitMemory(s.memoryLimit())
	lines, err := newLog(s.logLevel())
	defer closeLog(lines)
	if err != nil {
		return err
	}
	keyValueAddr, platformAddr := s.addresses()
	deps, err := connect(keyValueAddr, platformAddr, lines.Logger())
	if err != nil {
		return err
	}
	defer deps.Close()
	p, err := c.newProcess(s, deps, lines)
	if err != nil {
		return err
	}
	return run(p, lines.Logger(), func() (string, error) {
		reloaded, err := c.load()
		return reloaded.logLevel(), errors.Join(err, deps.reload())
	})
}

func (c *command[S]) load() (S, error) {
	var s S
	err := yaml.LoadSettings(c.path, &s)
	return s, err
}
