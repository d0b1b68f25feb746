package main

import (
	"fmt"
	"os"
	"time"

	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/mtls"
)

// security issues certificates to the measured processes and their peers. A nil *security disables TLS.
type security struct {
	authority *ca.Authority
	dir       string
}

func newSecurity() (*security, error) {
	authority, err := ca.New(time.Now())
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, fmt.Errorf("create directory of certificates: %w", err)
	}
	return &security{
		authority: authority,
		dir:       dir,
	}, nil
}

func (s *security) close() {
	if s != nil {
		os.RemoveAll(s.dir)
	}
}

// settings returns the TLS section of a daemon's settings.
func (s *security) settings(role mtls.Role) (string, error) {
	if s == nil {
		return "", nil
	}
	files, err := s.authority.Write(s.dir, string(role), ca.SubjectOf(mtls.NewIdentity("", role)))
	return fmt.Sprintf("tls: {certificate: %s, key: %s, authorities: %s}\n", files.Certificate, files.Key, files.Authorities), err
}

// credentials returns the credentials of clients and servers in the process of the command.
func (s *security) credentials(role mtls.Role) (*mtls.Credentials, error) {
	if s == nil {
		return nil, nil
	}
	return s.authority.Credentials(s.dir, mtls.NewIdentity("", role), timer.NewSystem())
}
