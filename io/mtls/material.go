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

// Files names the PEM files of a process's credentials.
type Files struct {
	// Certificate holds the process's own certificate, and intermediate ones behind it.
	Certificate string
	Key         string
	// Authorities holds the certificates of the authorities that peers may be signed by.
	Authorities string
}

// ErrFiles says that the files of credentials can't be used together.
var ErrFiles = eris.New("unusable credentials")

// FileError is what is wrong with one file; it matches ErrFiles.
type FileError struct {
	file   string
	reason string
}

// File returns the file's name.
func (e *FileError) File() string { return e.file }

// Reason says what is wrong.
func (e *FileError) Reason() string { return e.reason }

// Error names the file and what is wrong.
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

// material is what the files held when they were read.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	notAfter    time.Time
	// raw is the files' content, by which a change is noticed.
	raw []byte
}

// read reads the files and checks that key and certificate belong together.
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
		return nil, fileError(f.Authorities, "holds no certificate in PEM")
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

// intermediates returns the certificates behind the first one.
func intermediates(certs []*x509.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, c := range certs[1:] {
		pool.AddCert(c)
	}
	return pool
}

// verify checks a chain for a use at a time and returns whom it was issued to.
func (m *material) verify(now time.Time, certs []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(certs) == 0 {
		return Identity{}, refuse(ReasonHandshake, "no certificate")
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: intermediates(certs),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, refuseChain(err)
	}
	identity, err := identityOf(certs[0])
	if err != nil {
		return Identity{}, refuse(ReasonIdentity, "%v", err)
	}
	return identity, nil
}

// own returns the process's own chain.
func (m *material) own() ([]*x509.Certificate, error) {
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

// checkSelf checks that peers with the same authorities will accept the process as who it is.
func (m *material) checkSelf(now time.Time, self Identity) error {
	certs, err := m.own()
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
			return refuse(ReasonIdentity, "issued to %s, this process is %s", identity, self)
		}
	}
	return nil
}
