// Command waxwingpickd runs the daemons of the serving system: entry, sidecar and gateway.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"waxwingpick/internal/daemon"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(daemon.EntryCommand(), "")
	subcommands.Register(daemon.SidecarCommand(), "")
	subcommands.Register(daemon.GatewayCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
