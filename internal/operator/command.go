package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"

	"github.com/google/subcommands"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/internal/report"
)

// ExitConflict says that another operator's change was accepted first.
const ExitConflict subcommands.ExitStatus = 3

// usageError is a wrong call of a command.
type usageError struct {
	problem string
}

func (e *usageError) Error() string { return e.problem }

func usagef(format string, args ...any) error {
	return &usageError{
		problem: fmt.Sprintf(format, args...),
	}
}

// exitStatus returns the exit code for a command's error.
func exitStatus(err error) subcommands.ExitStatus {
	var usage *usageError
	var conflict *config.ConflictError
	var alert *alertError
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &alert):
		return subcommands.ExitStatus(report.BurnExitCode(alert.alert))
	case errors.As(err, &usage):
		return subcommands.ExitUsageError
	case errors.As(err, &conflict), errors.Is(err, waxwingpick.ErrConflict):
		return ExitConflict
	}
	return subcommands.ExitFailure
}

// action is what a command does; its flags are its own fields.
type action interface {
	setFlags(f *flag.FlagSet)
	run(ctx context.Context, args []string) error
}

var _ subcommands.Command = (*command)(nil)

// command is a subcommand around an action.
type command struct {
	env      Env
	name     string
	synopsis string
	usage    string
	action   action
}

// Name returns the subcommand's name.
func (c *command) Name() string { return c.name }

// Synopsis describes the subcommand in a line.
func (c *command) Synopsis() string { return c.synopsis }

// Usage describes the subcommand with examples.
func (c *command) Usage() string { return c.usage }

// SetFlags defines the subcommand's flags.
func (c *command) SetFlags(f *flag.FlagSet) { c.action.setFlags(f) }

// Execute runs the action and tells its error.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.action.run(ctx, f.Args())
	var told *toldError
	if err != nil && !errors.As(err, &told) {
		fmt.Fprintf(c.env.Stderr, "%s: %v\n", c.name, err)
	}
	var usage *usageError
	if errors.As(err, &usage) {
		fmt.Fprint(c.env.Stderr, "\n"+c.usage)
	}
	return exitStatus(err)
}

// toldError is an error that the output already tells.
type toldError struct {
	err error
}

func (e *toldError) Error() string { return e.err.Error() }

func (e *toldError) Unwrap() error { return e.err }

var _ subcommands.Command = (*group)(nil)

// group is a subcommand with subcommands of its own.
type group struct {
	command
	members []subcommands.Command
}

// SetFlags defines no flags.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute runs the member that the arguments name.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	return execute(ctx, g.env, "waxwingpick "+g.name, f.Args(), g.members, args...)
}

// execute runs one of the commands by the arguments.
func execute(ctx context.Context, env Env, name string, args []string, commands []subcommands.Command, extra ...any) subcommands.ExitStatus {
	top := flag.NewFlagSet(name, flag.ContinueOnError)
	top.SetOutput(env.Stderr)
	commander := subcommands.NewCommander(top, name)
	commander.Output = env.Stdout
	commander.Error = env.Stderr
	commander.Register(commander.HelpCommand(), "help")
	for _, c := range commands {
		commander.Register(c, "")
	}
	if top.Parse(args) != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx, extra...)
}

// Main runs the client with the process's arguments after its name and returns its exit code; more
// are commands of other packages.
func Main(ctx context.Context, env Env, args []string, more ...subcommands.Command) int {
	status := execute(ctx, env, "waxwingpick", args, append(Commands(env), more...))
	if status == subcommands.ExitUsageError && asksHelp(args) {
		return int(subcommands.ExitSuccess)
	}
	return int(status)
}

func asksHelp(args []string) bool {
	return slices.ContainsFunc(args, func(arg string) bool {
		return arg == "-h" || arg == "-help" || arg == "--help"
	})
}

// Commands returns the operators' commands.
func Commands(env Env) []subcommands.Command {
	return []subcommands.Command{
		presetGroup(env),
		leaveCommand(env),
		stayCommand(env),
		statusCommand(env),
		reportGroup(env),
		liftCommand(env),
		checkCommand(env),
		versionCommand(env),
	}
}
