package daemon

import (
	"cmp"
	"fmt"

	"github.com/google/subcommands"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/internal/sidecar"
	"waxwingpick/io/engine"
	"waxwingpick/io/jsonlines"
	"waxwingpick/io/plain"
	"waxwingpick/io/tcp"
)

// SidecarCommand returns the subcommand that runs a sidecar.
func SidecarCommand() subcommands.Command {
	return &command[SidecarSettings]{
		name:     "sidecar",
		synopsis: "run the sidecar of one target",
		usage: `waxwingpickd sidecar -settings FILE

Runs the sidecar beside one target until SIGTERM. The first SIGTERM refuses new
work and lets running requests end; a second SIGINT cuts them.

Example:
  waxwingpickd sidecar -settings /etc/waxwingpick/sidecar.yaml

`,
		newProcess: newSidecar,
	}
}

func newSidecar(s SidecarSettings, deps *dependencies, lines *jsonlines.Log) (process, error) {
	o, err := sidecarOptions(s, deps.timers, lines)
	if err != nil {
		return nil, err
	}
	if o.Credentials, err = deps.credentials(s.TLS.credentialsSection(s.identity()), lines.Logger()); err != nil {
		return nil, err
	}
	o.KeyValue = deps.kv
	o.Platform = deps.platformClient
	o.IndependentList = s.IndependentList
	return sidecar.New(o)
}

func sidecarOptions(s SidecarSettings, timers waxwingpick.Timers, lines *jsonlines.Log) (sidecar.Options, error) {
	o := sidecar.Options{
		Fleet:              s.Fleet,
		Instance:           waxwingpick.InstanceID(s.Instance),
		Target:             waxwingpick.TargetID(s.Target),
		Service:            waxwingpick.ServiceName(s.Service),
		Zone:               waxwingpick.AvailabilityZone(s.AvailabilityZone),
		Control:            s.Control,
		Data:               s.Data,
		Timers:             timers,
		Log:                lines.Logger(),
		Decisions:          lines,
		LogDropped:         lines.Dropped,
		MaxBody:            cmp.Or(s.MaxBodyBytes, defaultMaxBody),
		OrderResponseBytes: s.OrderResponseBytes,
		MaxConcurrent:      s.MaxConcurrent,
		KVBlocks:           s.Pieces,
		KVBlockTokens:      s.PieceTokens,
	}
	if config.TargetKind(s.Kind) == config.KindEngine {
		client, err := engine.New(s.TargetAddress)
		if err != nil {
			return o, fmt.Errorf("create engine client: %w", err)
		}
		o.Engine = client
		return o, nil
	}
	client, err := plain.New(s.TargetAddress)
	if err != nil {
		return o, fmt.Errorf("create service client: %w", err)
	}
	o.Plain = client
	o.Alive = tcp.ReachableCheck(s.TargetAddress, dialTimeout)
	return o, nil
}
