package mtls

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Files holds the names of the PEM files of the credentials of a process.
type Files struct {
	// Certificate names the file with the certificate of the process, followed by intermediate certificates.
	Certificate string
	Key         string
	// Authorities names the file with the certificates of the authorities that are trusted to sign peers.
	Authorities string
}

// ErrFiles reports that the credential files are unusable, alone or in combination.
var ErrFiles = eris.New("unusable credentials")

// FileError describes a fault of one file. It wraps ErrFiles.
type FileError struct {
	file   string
	reason string
}

// File returns the name of the file.
func (e *FileError) File() string { return e.file }

// Reason describes the fault.
func (e *FileError) Reason() string { return e.reason }

// Error returns the name of the file and the fault.
func (e *FileError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrFiles, e.file, e.reason)
}

// Unwrap returns ErrFiles.
func (e *FileError) Unwrap() error { return ErrFiles }

func fileError(file, format string, args ...any) error {
	return &FileError{
		file:   file,
		reason: fmt.Sprintf(format, args...),
	}
}

// material is the parsed content of the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	notAfter    time.Time
	// raw is the raw content of the files, to detect changes.
	raw []byte
}

// read reads the files and checks that the key matches the certificate.
func (f Files) read() (*material, error) {
	certificate, err := readFile(f.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := readFile(f.Key)
	if err != nil {
		return nil, err
	}
	m := &material{
		raw: bytes.Join([][]byte{certificate, key}, nil),
	}
	if m.certificate, err = tls.X509KeyPair(certificate, key); err != nil {
		return nil, fileError(f.Certificate, "with key %s: %v", f.Key, err)
	}
	m.notAfter = m.certificate.Leaf.NotAfter
	if f.Authorities == "" {
		return m, nil
	}
	authorities, err := readFile(f.Authorities)
	if err != nil {
		return nil, err
	}
	m.raw = append(m.raw, authorities...)
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(authorities) {
		return nil, fileError(f.Authorities, "contains no PEM certificate")
	}
	return m, nil
}

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fileError(name, "%v", err)
	}
	return data, nil
}

// intermediates returns the certificates that follow the leaf.
func intermediates(certs []*x509.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, c := range certs[1:] {
		pool.AddCert(c)
	}
	return pool
}

// verify checks a certificate chain for a usage at the time now and returns the identity in its leaf.
func (m *material) verify(now time.Time, certs []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(certs) == 0 {
		return Identity{}, newRefusal(ReasonHandshake, "no certificate")
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: intermediates(certs),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, chainRefusal(err)
	}
	identity, err := parseIdentity(certs[0])
	if err != nil {
		return Identity{}, newRefusal(ReasonIdentity, "%v", err)
	}
	return identity, nil
}

// chain returns the parsed certificate chain of the process.
func (m *material) chain() ([]*x509.Certificate, error) {
	certs := make([]*x509.Certificate, 0, len(m.certificate.Certificate))
	for _, der := range m.certificate.Certificate {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("parse certificate: %w", err)
		}
		certs = append(certs, c)
	}
	return certs, nil
}

// checkSelf checks that peers that trust the same authorities will accept the certificate for the identity self.
func (m *material) checkSelf(now time.Time, self Identity) error {
	certs, err := m.chain()
	if err != nil {
		return err
	}
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if self.serves() {
		usages = append(usages, x509.ExtKeyUsageServerAuth)
	}
	for _, usage := range usages {
		identity, err := m.verify(now, certs, usage)
		if err != nil {
			return err
		}
		if identity != self {
			return newRefusal(ReasonIdentity, "issued to %s, this process is %s", identity, self)
		}
	}
	return nil
}
