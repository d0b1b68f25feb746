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

// TLSSettings is the settings section for TLS between the system's processes.
type TLSSettings struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
	Authorities string `yaml:"authorities" validate:"required"`
	// Mode is permit, prefer or require. A running fleet enables TLS by going through them in this order. An empty mode
	// means require.
	Mode string `yaml:"mode" validate:"omitempty,oneof=permit prefer require"`
}

// CallerTLSSettings is the settings section for TLS between callers and entries.
type CallerTLSSettings struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
	// ClientAuthorities is the file of the authorities for callers' certificates. If it is empty, callers need no
	// certificate.
	ClientAuthorities string `yaml:"clientAuthorities"`
	// Mode is permit or require. The mode permit also accepts callers without TLS. An empty mode means require.
	Mode string `yaml:"mode" validate:"omitempty,oneof=permit require"`
}

// Certificate describes a certificate named in the settings.
type Certificate struct {
	File     string    `json:"file"`
	NotAfter time.Time `json:"notAfter"`
}

// credentialsSection is a settings section that names credentials. Its file is empty if the settings omit the section.
type credentialsSection struct {
	field string
	file  string
	load  func(timers waxwingpick.Timers, opts ...mtls.Option) (*mtls.Credentials, error)
}

// credentialsSection returns the section as the source of credentials of a process with the given identity.
func (s *TLSSettings) credentialsSection(self mtls.Identity) credentialsSection {
	if s == nil {
		return credentialsSection{}
	}
	files := mtls.Files{
		Certificate: s.Certificate,
		Key:         s.Key,
		Authorities: s.Authorities,
	}
	return credentialsSection{
		field: "tls",
		file:  s.Certificate,
		load: func(timers waxwingpick.Timers, opts ...mtls.Option) (*mtls.Credentials, error) {
			return mtls.New(files, self, timers, append(opts, withMode(s.Mode)...)...)
		},
	}
}

// credentialsSection returns the section as the source of credentials for connections from callers.
func (s *CallerTLSSettings) credentialsSection() credentialsSection {
	if s == nil {
		return credentialsSection{}
	}
	files := mtls.Files{
		Certificate: s.Certificate,
		Key:         s.Key,
		Authorities: s.ClientAuthorities,
	}
	return credentialsSection{
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

// loadCertificates loads the credentials of the sections and returns their certificates, and the problems with those
// that cannot be loaded.
func loadCertificates(sections ...credentialsSection) ([]Certificate, []yaml.Problem) {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	var certificates []Certificate
	var problems []yaml.Problem
	for _, s := range sections {
		if s.file == "" {
			continue
		}
		c, err := s.load(timer.NewSystem(), mtls.WithLog(logrus.NewEntry(discardLog)))
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

// Credentials loads the credentials of the operators' client.
func (s OperatorSettings) Credentials(log *logrus.Entry) (*mtls.Credentials, error) {
	return s.TLS.credentialsSection(s.identity()).load(timer.NewSystem(), mtls.WithLog(log))
}

// credentials loads the credentials of a section and starts reloading them. It returns nil if the settings omit the
// section.
func (d *dependencies) credentials(s credentialsSection, log *logrus.Logger) (*mtls.Credentials, error) {
	if s.file == "" {
		return nil, nil
	}
	c, err := s.load(d.timers, mtls.WithLog(log.WithField("section", s.field)))
	if err != nil {
		return nil, fmt.Errorf("read section %s: %w", s.field, err)
	}
	c.Start()
	d.reloadable = append(d.reloadable, c)
	return c, nil
}
