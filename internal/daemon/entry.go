package daemon

import (
	"cmp"
	"time"

	"github.com/google/subcommands"

	"waxwingpick"
	"waxwingpick/internal/entry"
	"waxwingpick/io/jsonlines"
)

const defaultMaxBody = 8 << 20

// EntryCommand returns the subcommand that runs an entry.
func EntryCommand() subcommands.Command {
	return &command[EntrySettings]{
		name:     "entry",
		synopsis: "run an entry, which callers talk to",
		usage: `waxwingpickd entry -settings FILE

Runs an entry until SIGTERM. The first SIGTERM turns readiness off and lets
running requests end; a second one cuts them.

Example:
  waxwingpickd entry -settings /etc/waxwingpick/entry.yaml

`,
		create: newEntry,
	}
}

func newEntry(s EntrySettings, out *outside, lines *jsonlines.Log) (process, error) {
	processes, err := out.credentials(s.TLS.section(s.identity()), lines.Logger())
	if err != nil {
		return nil, err
	}
	callers, err := out.credentials(s.CallerTLS.section(), lines.Logger())
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		LogDropped:        lines.Dropped,
		Fleet:             s.Fleet,
		Instance:          waxwingpick.InstanceID(s.Instance),
		Zone:              waxwingpick.AvailabilityZone(s.AvailabilityZone),
		Listen:            s.Listen,
		Control:           s.Control,
		KeyValue:          out.kv,
		Platform:          out.list,
		OwnList:           s.OwnList,
		Credentials:       processes,
		CallerCredentials: callers,
		Timers:            out.timers,
		Log:               lines.Logger(),
		Decisions:         lines,
		LameDuck:          time.Duration(s.LameDuckSeconds) * time.Second,
		MaxBody:           cmp.Or(s.MaxBodyBytes, defaultMaxBody),
	})
}
