package ca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/internal/loopback"
	"waxwingpick/io/mtls"
)

const (
	fileMode = 0o600
	// lifetime is the validity of the CA certificate and the default for issued certificates.
	lifetime = 365 * 24 * time.Hour
	// serialBits is the size of a certificate serial number in bits.
	serialBits = 64
)

// Subject is the subject of a certificate.
type Subject struct {
	// URIs are the identities that processes check.
	URIs []*url.URL
	// IPs are the addresses that callers connect to.
	IPs []net.IP
	// NotAfter is the end of the certificate's validity. Zero means the end of the CA certificate's.
	NotAfter time.Time
}

// SubjectOf returns the subject with the identity and with the loopback addresses that tests listen on.
func SubjectOf(identity mtls.Identity) Subject {
	return Subject{
		URIs: []*url.URL{identity.URI()},
		IPs:  []net.IP{net.IPv4(127, 0, 0, 1), net.ParseIP(loopback.Host())},
	}
}

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority. Its certificates are valid from an hour before now.
func New(now time.Time) (*Authority, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a := &Authority{}
	der, key, err := a.sign(template)
	if err != nil {
		return nil, err
	}
	a.key = key
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, fmt.Errorf("parse CA certificate: %w", err)
	}
	return a, nil
}

// PEM returns the CA certificate.
func (a *Authority) PEM() []byte {
	return encode("CERTIFICATE", a.cert.Raw)
}

// Issue returns a new certificate and its key in PEM.
func (a *Authority) Issue(h Subject) (certificate, key []byte, err error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: "process"},
		NotBefore:   a.cert.NotBefore,
		NotAfter:    h.NotAfter,
		URIs:        h.URIs,
		IPAddresses: h.IPs,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if h.NotAfter.IsZero() {
		template.NotAfter = a.cert.NotAfter
	}
	der, private, err := a.sign(template)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key: %w", err)
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", encoded), nil
}

// Pair returns a new certificate and its key for crypto/tls.
func (a *Authority) Pair(h Subject) (tls.Certificate, error) {
	certificate, key, err := a.Issue(h)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(certificate, key)
}

// Credentials writes the files of a process to the directory and returns its credentials. Their log is discarded.
func (a *Authority) Credentials(dir string, self mtls.Identity, timers waxwingpick.Timers, opts ...mtls.Option) (*mtls.Credentials, error) {
	files, err := a.Write(dir, string(self.Role()), SubjectOf(self))
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return mtls.New(files, self, timers, append(opts, mtls.WithLog(logrus.NewEntry(log)))...)
}

// Write issues a certificate and writes it, its key and the CA certificate to files in the directory, replacing those
// of the same name.
func (a *Authority) Write(dir, name string, h Subject) (mtls.Files, error) {
	files := mtls.Files{
		Certificate: filepath.Join(dir, name+".crt"),
		Key:         filepath.Join(dir, name+".key"),
		Authorities: filepath.Join(dir, name+".authorities.crt"),
	}
	certificate, key, err := a.Issue(h)
	if err != nil {
		return files, err
	}
	for path, data := range map[string][]byte{
		files.Certificate: certificate,
		files.Key:         key,
		files.Authorities: a.PEM(),
	} {
		if err := os.WriteFile(path, data, fileMode); err != nil {
			return files, fmt.Errorf("write credentials: %w", err)
		}
	}
	return files, nil
}

// sign signs the template with the key of the authority, or self-signs it if the authority has no certificate yet.
func (a *Authority) sign(template *x509.Certificate) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key: %w", err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, fmt.Errorf("generate serial number: %w", err)
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate: %w", err)
	}
	return der, key, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
}
