package operator

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/google/subcommands"
)

func versionCommand(env Env) subcommands.Command {
	return &command{
		env:      env,
		name:     "version",
		synopsis: "show the program's version",
		usage: `waxwingpick version [flags]

Example:
  waxwingpick version -output json

`,
		action: &version{
			output: output{
				env: env,
			},
		},
	}
}

// version is the action of the version command.
type version struct {
	output
}

// build identifies the build of the program.
type build struct {
	Module   string `json:"module"`
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
}

func (v *version) run(_ context.Context, args []string) error {
	if err := v.validate(); err != nil {
		return err
	}
	if len(args) > 0 {
		return usagef("takes no arguments")
	}
	info, _ := debug.ReadBuildInfo()
	b := build{
		Module:  info.Main.Path,
		Version: info.Main.Version,
		Go:      info.GoVersion,
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return v.write(b, func(w io.Writer) {
		row(w, b.Module, b.Version, b.Go, b.Revision)
	})
}
