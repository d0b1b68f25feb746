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

// settings is what both processes' settings have in common.
type settings interface {
	// logLevel returns the level that the process logs at; empty means info.
	logLevel() string
	// memory returns the memory budget in bytes; zero means the default.
	memory() int
	// connections returns the addresses of the key-value service and of the platform's list.
	connections() (keyValue, platform string)
}

// command runs one kind of process by its settings file.
type command[S settings] struct {
	name     string
	synopsis string
	usage    string
	// create wires the process; it does not start it.
	create func(s S, out *outside, lines *jsonlines.Log) (process, error)

	path string
}

// Name returns the subcommand's name.
func (c *command[S]) Name() string { return c.name }

// Synopsis describes the subcommand in a line.
func (c *command[S]) Synopsis() string { return c.synopsis }

// Usage describes the subcommand.
func (c *command[S]) Usage() string { return c.usage }

// SetFlags defines the subcommand's flags.
func (c *command[S]) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "the settings file, in YAML")
}

// Execute runs the process until a signal stops it.
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
	limitMemory(s.memory())
	lines, err := newLog(s.logLevel())
	defer closeLog(lines)
	if err != nil {
		return err
	}
	out, err := connect(s.connections())
	if err != nil {
		return err
	}
	defer out.Close()
	p, err := c.create(s, out, lines)
	if err != nil {
		return err
	}
	return run(p, lines.Logger(), func() (string, error) {
		again, err := c.load()
		return again.logLevel(), errors.Join(err, out.reload())
	})
}

func (c *command[S]) load() (S, error) {
	var s S
	err := yaml.LoadSettings(c.path, &s)
	return s, err
}
