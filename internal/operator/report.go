package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"waxwingpick/core/burn"
	"waxwingpick/core/config"
	"waxwingpick/internal/report"
	entries "waxwingpick/io/operator"
)

// reportMode is the mode of a written report file.
const reportMode = 0o644

func reportGroup(env Env) subcommands.Command {
	return &group{
		command: command{
			env:      env,
			name:     "report",
			synopsis: "report how the service-level objectives stand",
			usage: `waxwingpick report burn

Example:
  waxwingpick report burn -h

`,
		},
		members: []subcommands.Command{
			&command{
				env:      env,
				name:     "burn",
				synopsis: "show how fast each class uses up its error budget",
				usage: `waxwingpick report burn [flags]

Asks every entry on the platform's list and merges their counts: burn rates over
5 minutes and 1 hour, 30 minutes and 6 hours, and which workspaces, targets and
presets burn. It exits with 0 where nothing alerts, 10 for a ticket, 11 for a
page, so that scripts can act on it.

Examples:
  waxwingpick report burn
  waxwingpick report burn -format html -file burn.html

`,
				action: &burnReport{
					env: env,
					fleet: fleet{
						env: env,
					},
				},
			},
		},
	}
}

// alertError says that a report alerts; the report itself tells which class.
type alertError struct {
	alert burn.Alert
}

func (e *alertError) Error() string { return "alert: " + string(e.alert) }

// burnReport shows the burn of the error budgets.
type burnReport struct {
	fleet
	env    Env
	format string
	file   string
}

func (b *burnReport) setFlags(f *flag.FlagSet) {
	b.fleet.setFlags(f)
	f.StringVar(&b.format, "format", string(report.FormatTable), "table, json or html")
	f.StringVar(&b.file, "file", "", "write the report to this file instead of standard output")
}

func (b *burnReport) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("takes no arguments")
	}
	switch report.Format(b.format) {
	case report.FormatTable, report.FormatJSON, report.FormatHTML:
	default:
		return usagef("-format %q is none of table, json, html", b.format)
	}
	if b.addr() == "" {
		return usagef("the platform's address is missing: set -platform or %s", EnvPlatform)
	}
	evaluation, failure := b.evaluate(ctx)
	if len(evaluation.Classes) == 0 && failure != nil {
		return failure
	}
	if err := b.writeReport(evaluation); err != nil {
		return errors.Join(err, failure)
	}
	if failure != nil {
		return fmt.Errorf("the report lacks entries: %w", failure)
	}
	if evaluation.Alert != burn.AlertNone {
		return &toldError{
			err: &alertError{
				alert: evaluation.Alert,
			},
		}
	}
	return nil
}

// evaluate merges the counts of all entries against the objectives of the newest configuration that one acts under.
func (b *burnReport) evaluate(ctx context.Context) (burn.Evaluation, error) {
	instances, err := b.list(ctx)
	if err != nil {
		return burn.Evaluation{}, err
	}
	client, err := b.client()
	if err != nil {
		return burn.Evaluation{}, err
	}
	defer client.Close()
	var snapshots []burn.Snapshot
	var classes []config.ClassPolicy
	var newest int64
	failures := []error{}
	for _, a := range askEach(ctx, instances, func(ctx context.Context, addr string) (entries.BurnResponse, error) {
		return client.Burn(ctx, addr, entries.BurnRequest{
			WithoutPoints: report.Format(b.format) == report.FormatTable,
		})
	}) {
		if a.err != nil {
			failures = append(failures, fmt.Errorf("entry %s: %w", a.instance.ID, a.err))
			continue
		}
		snapshots = append(snapshots, a.value.Snapshot)
		if a.value.ConfigRevision >= newest {
			newest = a.value.ConfigRevision
			classes = a.value.Classes
		}
	}
	if len(snapshots) == 0 {
		return burn.Evaluation{}, errors.Join(append(failures, errNoEntry)...)
	}
	return burn.Evaluate(burn.Merge(snapshots...), classes), errors.Join(failures...)
}

func (b *burnReport) writeReport(evaluation burn.Evaluation) error {
	if b.file == "" {
		return report.WriteBurn(b.env.Stdout, report.Format(b.format), evaluation)
	}
	f, err := os.OpenFile(b.file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, reportMode)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	if err := report.WriteBurn(f, report.Format(b.format), evaluation); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
