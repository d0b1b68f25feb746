package daemon

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/io/mtls"
	"waxwingpick/io/yaml"
)

// TLSSettings is the section about connections between the system's processes.
type TLSSettings struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
	Authorities string `yaml:"authorities" validate:"required"`
	// Mode is permit, prefer or require, the steps by which a running fleet turns TLS on; empty means require.
	Mode string `yaml:"mode" validate:"omitempty,oneof=permit prefer require"`
}

// CallerTLSSettings is the section about connections from callers.
type CallerTLSSettings struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
	// ClientAuthorities is set where callers need a certificate too.
	ClientAuthorities string `yaml:"clientAuthorities"`
	// Mode permit lets callers without TLS in as well; empty means require.
	Mode string `yaml:"mode" validate:"omitempty,oneof=permit require"`
}

// Certificate is a certificate that settings name.
type Certificate struct {
	File     string    `json:"file"`
	NotAfter time.Time `json:"notAfter"`
}

// section is a section of settings that names credentials.
type section struct {
	field string
	file  string
	load  func(timers waxwingpick.Timers, opts ...mtls.Option) (*mtls.Credentials, error)
}

// section returns the section of a process; without a file where the settings leave it out.
func (s *TLSSettings) section(self mtls.Identity) section {
	if s == nil {
		return section{}
	}
	files := mtls.Files{
		Certificate: s.Certificate,
		Key:         s.Key,
		Authorities: s.Authorities,
	}
	return section{
		field: "tls",
		file:  s.Certificate,
		load: func(timers waxwingpick.Timers, opts ...mtls.Option) (*mtls.Credentials, error) {
			return mtls.New(files, self, timers, append(opts, withMode(s.Mode)...)...)
		},
	}
}

// section returns the callers' section; without a file where the settings leave it out.
func (s *CallerTLSSettings) section() section {
	if s == nil {
		return section{}
	}
	files := mtls.Files{
		Certificate: s.Certificate,
		Key:         s.Key,
		Authorities: s.ClientAuthorities,
	}
	return section{
		field: "callerTls",
		file:  s.Certificate,
		load: func(timers waxwingpick.Timers, opts ...mtls.Option) (*mtls.Credentials, error) {
			return mtls.NewForCallers(files, timers, append(opts, withMode(s.Mode)...)...)
		},
	}
}

func withMode(mode string) []mtls.Option {
	if mode == "" {
		return nil
	}
	return []mtls.Option{mtls.WithMode(mtls.Mode(mode))}
}

// inspect reads the credentials of sections without using them.
func inspect(sections ...section) ([]Certificate, []yaml.Problem) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	var certificates []Certificate
	var problems []yaml.Problem
	for _, s := range sections {
		if s.file == "" {
			continue
		}
		c, err := s.load(timer.NewSystem(), mtls.WithLog(logrus.NewEntry(quiet)))
		if err != nil {
			problems = append(problems, yaml.Problem{
				Field: s.field,
				Text:  err.Error(),
			})
			continue
		}
		certificates = append(certificates, Certificate{
			File:     s.file,
			NotAfter: c.NotAfter(),
		})
	}
	return certificates, problems
}

// Credentials reads the credentials of the operators' client.
func (s OperatorSettings) Credentials(log *logrus.Entry) (*mtls.Credentials, error) {
	return s.TLS.section(s.identity()).load(timer.NewSystem(), mtls.WithLog(log))
}

// credentials reads the credentials of a section and keeps them fresh; nil where the settings leave it out.
func (o *outside) credentials(s section, log *logrus.Logger) (*mtls.Credentials, error) {
	if s.file == "" {
		return nil, nil
	}
	c, err := s.load(o.timers, mtls.WithLog(log.WithField("section", s.field)))
	if err != nil {
		return nil, fmt.Errorf("read section %s: %w", s.field, err)
	}
	c.Start()
	o.secured = append(o.secured, c)
	return c, nil
}
