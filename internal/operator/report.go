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

// reportMode is the file mode of report files.
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
					fleetClient: fleetClient{
						env: env,
					},
				},
			},
		},
	}
}

// alertError is returned if a report contains an alert. The report itself names the class.
type alertError struct {
	alert burn.Alert
}

func (e *alertError) Error() string { return "alert: " + string(e.alert) }

// burnReport is the action of the report burn command.
type burnReport struct {
	fleetClient
	env    Env
	format string
	file   string
}

func (b *burnReport) setFlags(f *flag.FlagSet) {
	b.fleetClient.setFlags(f)
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
		return fmt.Errorf("report is incomplete: %w", failure)
	}
	if evaluation.Alert != burn.AlertNone {
		return &reportedError{
			err: &alertError{
				alert: evaluation.Alert,
			},
		}
	}
	return nil
}

// evaluate merges the counts of all entries. It evaluates them against the objectives of the newest configuration that
// any entry has applied. The evaluation may be partial if an error is returned.
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
	for _, resp := range requestEach(ctx, instances, func(ctx context.Context, addr string) (entries.BurnResponse, error) {
		return client.Burn(ctx, addr, entries.BurnRequest{
			WithoutPoints: report.Format(b.format) == report.FormatTable,
		})
	}) {
		if resp.err != nil {
			failures = append(failures, fmt.Errorf("entry %s: %w", resp.instance.ID, resp.err))
			continue
		}
		snapshots = append(snapshots, resp.value.Snapshot)
		if resp.value.ConfigRevision >= newest {
			newest = resp.value.ConfigRevision
			classes = resp.value.Classes
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
