package operator

import (
	"context"
	"errors"
	"flag"
	"io"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"waxwingpick/core/suspect"
)

func liftCommand(env Env) subcommands.Command {
	return &command{
		env:      env,
		name:     "lift",
		synopsis: "clear a crash suspect",
		usage: `waxwingpick lift [flags] FINGERPRINT

Lets requests of the fingerprint run again. One entry is told; it spreads the
word to the others.

Example:
  waxwingpick lift 00c0ffee00c0ffee

`,
		action: &lift{
			output: output{
				env: env,
			},
			fleetClient: fleetClient{
				env: env,
			},
		},
	}
}

// lift is the action of the lift command, which clears a crash suspect.
type lift struct {
	output
	fleetClient
}

func (l *lift) setFlags(f *flag.FlagSet) {
	l.output.setFlags(f)
	l.fleetClient.setFlags(f)
}

func (l *lift) run(ctx context.Context, args []string) error {
	if err := l.validate(); err != nil {
		return err
	}
	if len(args) != 1 {
		return usagef("takes one fingerprint")
	}
	fingerprint, err := suspect.ParseFingerprint(args[0])
	if err != nil {
		return usagef("%v", err)
	}
	if l.addr() == "" {
		return usagef("the platform's address is missing: set -platform or %s", EnvPlatform)
	}
	record, err := l.sendToOne(ctx, fingerprint)
	if err != nil {
		return err
	}
	return l.write(record, func(w io.Writer) {
		row(w, "lifted", record.Fingerprint, formatTime(record.Lifted))
	})
}

var errNoEntry = eris.New("no entry on the platform's list accepted the request")

// sendToOne sends the request to one entry after another until one responds.
func (l *lift) sendToOne(ctx context.Context, fingerprint suspect.Fingerprint) (suspect.Record, error) {
	instances, err := l.list(ctx)
	if err != nil {
		return suspect.Record{}, err
	}
	client, err := l.client()
	if err != nil {
		return suspect.Record{}, err
	}
	defer client.Close()
	failures := []error{errNoEntry}
	for _, instance := range instances {
		record, err := client.Lift(ctx, instance.Control, fingerprint)
		if err == nil {
			return record, nil
		}
		failures = append(failures, err)
	}
	return suspect.Record{}, errors.Join(failures...)
}
