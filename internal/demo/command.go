package demo

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"waxwingpick"
	samples "waxwingpick/config"
	"waxwingpick/io/jsonlines"
	"waxwingpick/io/yaml"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

var _ subcommands.Command = (*Command)(nil)

// Command implements the subcommand "demo".
type Command struct {
	stdout io.Writer
	stderr io.Writer
	sample string
	fault  string
	output string
	logs   bool
}

// NewCommand returns the subcommand, which prints results to stdout, and progress and errors to stderr.
func NewCommand(stdout, stderr io.Writer) *Command {
	return &Command{
		stdout: stdout,
		stderr: stderr,
	}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run the whole path on stand-ins in this process" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `waxwingpick demo [flags]

Starts stand-ins for the key-value service, the platform's list, model engines
and plain services with four sidecars and two entries on loopback, sends a
short mixed load with a preset switch, a leaving instance and repeated bookings
in the middle, and shows what became of the requests. It exits with 1 where one
was lost, cut, mixed up or run twice.

Examples:
  waxwingpick demo
  waxwingpick demo -sample cacaotera -output json
  waxwingpick demo -fault doubleRun

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.sample, "sample", "tanzplan", "the sample configuration: tanzplan or cacaotera")
	f.StringVar(&c.fault, "fault", "", "break a promise on purpose: doubleRun or cut")
	f.StringVar(&c.output, "output", outputTable, "table or json")
	f.BoolVar(&c.logs, "logs", false, "write the processes' logs to standard error")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.output != outputTable && c.output != outputJSON {
		fmt.Fprint(c.stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(c.stderr, "demo:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	summary, err := Run(ctx, o)
	if err != nil {
		return err
	}
	write := summary.Table
	if c.output == outputJSON {
		write = summary.JSON
	}
	if err := write(c.stdout); err != nil {
		return err
	}
	return summary.Check()
}

func (c *Command) options() (Options, error) {
	name := c.sample + ".yaml"
	data, err := samples.Files.ReadFile(name)
	if err != nil {
		return Options{}, eris.Errorf("sample %q is none of tanzplan, cacaotera", c.sample)
	}
	record, err := yaml.DecodeConfig(name, data)
	if err != nil {
		return Options{}, fmt.Errorf("read sample: %w", err)
	}
	out := io.Discard
	if c.logs {
		out = c.stderr
	}
	lines := jsonlines.New(out)
	return Options{
		Config:    record,
		Zones:     []waxwingpick.AvailabilityZone{"zone-a", "zone-b"},
		Fault:     Fault(c.fault),
		Progress:  c.stderr,
		Log:       lines.Logger(),
		Decisions: lines,
	}, nil
}
