package daemon

import (
	"cmp"
	"time"

	"github.com/google/subcommands"

	"waxwingpick"
	"waxwingpick/internal/entry"
	"waxwingpick/io/jsonlines"
)

// defaultMaxBody is the default maximum size of a request body, in bytes.
const defaultMaxBody = 8 << 20

// EntryCommand returns the subcommand that runs an entry.
func EntryCommand() subcommands.Command {
	return &command[EntrySettings]{
		name:     "entry",
		synopsis: "run an entry, which callers talk to",
		usage: `waxwingpickd entry -settings FILE

Runs an entry until SIGTERM. The first SIGTERM turns readiness off and lets
running requests end; a second SIGINT cuts them.

Example:
  waxwingpickd entry -settings /etc/waxwingpick/entry.yaml

`,
		newProcess: newEntry,
	}
}

func newEntry(s EntrySettings, deps *dependencies, lines *jsonlines.Log) (process, error) {
	processCredentials, err := deps.credentials(s.TLS.credentialsSection(s.identity()), lines.Logger())
	if err != nil {
		return nil, err
	}
	callerCredentials, err := deps.credentials(s.CallerTLS.credentialsSection(), lines.Logger())
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
		KeyValue:          deps.kv,
		Platform:          deps.platformClient,
		IndependentList:   s.IndependentList,
		Credentials:       processCredentials,
		CallerCredentials: callerCredentials,
		Timers:            deps.timers,
		Log:               lines.Logger(),
		Decisions:         lines,
		LameDuck:          time.Duration(s.LameDuckSeconds) * time.Second,
		MaxBody:           cmp.Or(s.MaxBodyBytes, defaultMaxBody),
	})
}
