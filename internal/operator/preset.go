package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"

	"waxwingpick/core/config"
	fileyaml "waxwingpick/io/yaml"
)

func presetGroup(env Env) subcommands.Command {
	return &group{
		command: command{
			env:      env,
			name:     "preset",
			synopsis: "list, show, apply and switch presets",
			usage: `waxwingpick preset list|show|apply|switch

Presets are the operating modes; exactly one is in force.

Examples:
  waxwingpick preset list
  waxwingpick preset switch -h

`,
		},
		members: []subcommands.Command{
			&command{
				env:      env,
				name:     "list",
				synopsis: "list the presets and the one in force",
				usage: `waxwingpick preset list [flags]

Example:
  waxwingpick preset list -output json

`,
				action: &presetList{
					keyValueFlags: newKeyValueFlags(env),
				},
			},
			&command{
				env:      env,
				name:     "show",
				synopsis: "show a preset, or the one in force",
				usage: `waxwingpick preset show [flags] [NAME]

Shows the preset as it stands in a configuration file.

Examples:
  waxwingpick preset show
  waxwingpick preset show peak

`,
				action: &presetShow{
					keyValueFlags: newKeyValueFlags(env),
				},
			},
			&command{
				env:      env,
				name:     "apply",
				synopsis: "apply a configuration file",
				usage: `waxwingpick preset apply [flags] FILE

Takes presets, services and limits from the file. The preset in force and the
announced departures stay; the file's inForce counts only where none is in force
or the file has no preset of that name. A faulty file is refused whole.

Examples:
  waxwingpick preset apply -dry-run config/tanzplan.yaml
  waxwingpick preset apply -expect-revision 7 config/tanzplan.yaml

`,
				action: &presetApply{
					change: newChange(env),
				},
			},
			&command{
				env:      env,
				name:     "switch",
				synopsis: "put a preset in force",
				usage: `waxwingpick preset switch [flags] NAME

Examples:
  waxwingpick preset switch -dry-run peak
  waxwingpick preset switch peak

`,
				action: &presetSwitch{
					change: newChange(env),
				},
			},
		},
	}
}

func newKeyValueFlags(env Env) keyValueFlags {
	return keyValueFlags{
		output: output{
			env: env,
		},
	}
}

func newChange(env Env) change {
	return change{
		keyValueFlags: newKeyValueFlags(env),
	}
}

// presetList is the action of the preset list command.
type presetList struct {
	keyValueFlags
}

// presetRow is one preset in the list.
type presetRow struct {
	Name    string               `json:"name"`
	InForce bool                 `json:"inForce"`
	Classes []config.ClassPolicy `json:"classes"`
}

// presetTable is the output of the preset list command.
type presetTable struct {
	Revision int64       `json:"revision"`
	Presets  []presetRow `json:"presets"`
}

func (p *presetList) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("takes no arguments")
	}
	r, err := p.record(ctx)
	if err != nil {
		return err
	}
	table := presetTable{
		Revision: r.Revision,
	}
	for _, preset := range r.Presets {
		table.Presets = append(table.Presets, presetRow{
			Name:    preset.Name,
			InForce: preset.Name == r.InForce,
			Classes: preset.Classes,
		})
	}
	return p.write(table, func(w io.Writer) {
		row(w, "PRESET", "IN FORCE", "DEADLINES")
		for _, preset := range table.Presets {
			row(w, preset.Name, yesOrEmpty(preset.InForce), deadlines(preset.Classes))
		}
		fmt.Fprintf(w, "revision %d\n", table.Revision)
	})
}

func yesOrEmpty(set bool) string {
	if set {
		return "yes"
	}
	return ""
}

func deadlines(classes []config.ClassPolicy) string {
	text := ""
	for _, c := range classes {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %s", c.Class, c.Deadline.Std())
	}
	return text
}

// record reads the configuration record.
func (r *keyValueFlags) record(ctx context.Context) (config.Record, error) {
	kv, err := r.dial()
	if err != nil {
		return config.Record{}, err
	}
	base, err := load(ctx, config.NewStore(kv))
	if err != nil {
		return config.Record{}, err
	}
	return base.Record(), nil
}

// presetShow is the action of the preset show command.
type presetShow struct {
	keyValueFlags
}

func (p *presetShow) run(ctx context.Context, args []string) error {
	if len(args) > 1 {
		return usagef("takes at most one preset's name")
	}
	r, err := p.record(ctx)
	if err != nil {
		return err
	}
	name := r.InForce
	if len(args) == 1 {
		name = args[0]
	}
	preset, ok := findPreset(r, name)
	if !ok {
		return fmt.Errorf("preset %q is unknown in revision %d", name, r.Revision)
	}
	text, err := yaml.Marshal(preset)
	if err != nil {
		return fmt.Errorf("encode preset: %w", err)
	}
	return p.write(preset, func(w io.Writer) {
		fmt.Fprint(w, string(text))
	})
}

// presetApply is the action of the preset apply command.
type presetApply struct {
	change
}

func (p *presetApply) run(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return usagef("takes one configuration file")
	}
	r, err := fileyaml.LoadConfig(args[0])
	if err != nil {
		return err
	}
	return p.commit(ctx, config.ApplyRecord(r), true)
}

// presetSwitch is the action of the preset switch command.
type presetSwitch struct {
	change
}

func (p *presetSwitch) run(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return usagef("takes one preset's name")
	}
	return p.commit(ctx, config.SwitchPreset(args[0]), false)
}
