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

// ExitConflict is the exit code if another operator's change was accepted first.
const ExitConflict subcommands.ExitStatus = 3

// usageError is returned for invalid arguments or flags.
type usageError struct {
	problem string
}

func (e *usageError) Error() string { return e.problem }

func usagef(format string, args ...any) error {
	return &usageError{
		problem: fmt.Sprintf(format, args...),
	}
}

// exitStatus returns the exit code for the error of a command.
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

// action implements a command. The values of its flags are stored in its fields.
type action interface {
	setFlags(f *flag.FlagSet)
	run(ctx context.Context, args []string) error
}

var _ subcommands.Command = (*command)(nil)

// command is a subcommand that runs an action.
type command struct {
	env      Env
	name     string
	synopsis string
	usage    string
	action   action
}

// Name returns the subcommand's name.
func (c *command) Name() string { return c.name }

// Synopsis returns a one-line description of the subcommand.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text of the subcommand, with examples.
func (c *command) Usage() string { return c.usage }

// SetFlags defines the subcommand's flags.
func (c *command) SetFlags(f *flag.FlagSet) { c.action.setFlags(f) }

// Execute runs the action and prints its error, unless the output already contains it.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.action.run(ctx, f.Args())
	var reported *reportedError
	if err != nil && !errors.As(err, &reported) {
		fmt.Fprintf(c.env.Stderr, "%s: %v\n", c.name, err)
	}
	var usage *usageError
	if errors.As(err, &usage) {
		fmt.Fprint(c.env.Stderr, "\n"+c.usage)
	}
	return exitStatus(err)
}

// reportedError is an error that is already part of the command's output.
type reportedError struct {
	err error
}

func (e *reportedError) Error() string { return e.err.Error() }

func (e *reportedError) Unwrap() error { return e.err }

var _ subcommands.Command = (*group)(nil)

// group is a subcommand that consists of subcommands.
type group struct {
	command
	members []subcommands.Command
}

// SetFlags does nothing, because a group has no flags.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute runs the member named by the first argument.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	return execute(ctx, g.env, "waxwingpick "+g.name, f.Args(), g.members, args...)
}

// execute runs the command named by the first argument.
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

// Main runs the client with the command-line arguments, without the program's name, and returns the exit code. Commands
// of other packages are passed in more.
func Main(ctx context.Context, env Env, args []string, more ...subcommands.Command) int {
	status := execute(ctx, env, "waxwingpick", args, append(Commands(env), more...))
	if status == subcommands.ExitUsageError && helpRequested(args) {
		return int(subcommands.ExitSuccess)
	}
	return int(status)
}

func helpRequested(args []string) bool {
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
