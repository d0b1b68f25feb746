package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"waxwingpick/internal/daemon"
	"waxwingpick/io/yaml"
)

// Kinds of files.
const (
	fileConfig  = "config"
	fileEntry   = "entry"
	fileSidecar = "sidecar"
	// fileOperator is the settings file of the operators' client.
	fileOperator = "operator"
)

func checkCommand(env Env) subcommands.Command {
	return &command{
		env:      env,
		name:     "check",
		synopsis: "check configuration and settings files",
		usage: `waxwingpick check [flags] FILE...

Tells every fault of the files with file, line, field and what is allowed. Of
settings it checks the certificates too: that they belong to their keys, are
signed by the authorities, name the process's fleet and role, and how long they
last.

Examples:
  waxwingpick check config/tanzplan.yaml
  waxwingpick check -kind sidecar sidecar.yaml

`,
		action: &check{
			output: output{
				env: env,
			},
		},
	}
}

// check is the action of the check command.
type check struct {
	output
	kind string
}

// fileFault is one fault of a file.
type fileFault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
}

// checkResult is the result of the check command.
type checkResult struct {
	Files        int           `json:"files"`
	Faults       []fileFault   `json:"faults"`
	Certificates []certificate `json:"certificates,omitempty"`
}

// certificate is a certificate named in a settings file.
type certificate struct {
	daemon.Certificate
	DaysLeft int `json:"daysLeft"`
}

var errFaultyFiles = eris.New("faulty files")

func (c *check) setFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.kind, "kind", fileConfig, "kind of the files: config, entry, sidecar or operator")
}

func (c *check) run(_ context.Context, args []string) error {
	if err := c.validate(); err != nil {
		return err
	}
	if len(args) == 0 {
		return usagef("takes at least one file")
	}
	result := checkResult{
		Files:  len(args),
		Faults: []fileFault{},
	}
	for _, path := range args {
		faults, certificates, err := c.file(path)
		if err != nil {
			return err
		}
		result.Faults = append(result.Faults, faults...)
		result.Certificates = append(result.Certificates, certificates...)
	}
	err := c.write(result, func(w io.Writer) {
		for _, f := range result.Faults {
			fmt.Fprintf(w, "%s:%d: %s: %s\n", f.File, f.Line, f.Field, f.Problem)
		}
		for _, cert := range result.Certificates {
			fmt.Fprintf(w, "%s: ends in %d days, at %s\n", cert.File, cert.DaysLeft, formatTime(cert.NotAfter))
		}
		fmt.Fprintf(w, "files: %d, faults: %d\n", result.Files, len(result.Faults))
	})
	if err == nil && len(result.Faults) > 0 {
		return &reportedError{
			err: errFaultyFiles,
		}
	}
	return err
}

// file returns the faults of a file and the certificates that it names. It returns an error if the file cannot be read.
func (c *check) file(path string) ([]fileFault, []certificate, error) {
	certs, err := c.load(path)
	var fileErr *yaml.FileError
	if !errors.As(err, &fileErr) {
		return nil, c.certificates(certs), err
	}
	var faults []fileFault
	for _, f := range fileErr.Faults() {
		faults = append(faults, fileFault{
			File:    f.File(),
			Line:    f.Line(),
			Field:   f.Field(),
			Problem: f.Problem(),
		})
	}
	return faults, nil, nil
}

func (c *check) certificates(certs []daemon.Certificate) []certificate {
	list := make([]certificate, 0, len(certs))
	for _, n := range certs {
		list = append(list, certificate{
			Certificate: n,
			DaysLeft:    daysBetween(c.env.Now(), n.NotAfter),
		})
	}
	return list
}

func (c *check) load(path string) ([]daemon.Certificate, error) {
	switch c.kind {
	case fileConfig:
		_, err := yaml.LoadConfig(path)
		return nil, err
	case fileEntry:
		return loadSettings[daemon.EntrySettings](path)
	case fileSidecar:
		return loadSettings[daemon.SidecarSettings](path)
	case fileOperator:
		return loadSettings[daemon.OperatorSettings](path)
	}
	return nil, usagef("-kind %q is none of config, entry, sidecar, operator", c.kind)
}

// certificateSettings is implemented by settings that name certificates.
type certificateSettings interface {
	Certificates() ([]daemon.Certificate, []yaml.Problem)
}

func loadSettings[S certificateSettings](path string) ([]daemon.Certificate, error) {
	var s S
	if err := yaml.LoadSettings(path, &s); err != nil {
		return nil, err
	}
	certs, _ := s.Certificates()
	return certs, nil
}
