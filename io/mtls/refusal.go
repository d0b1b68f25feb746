package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// Reason says why a peer was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonPlain is a peer without TLS.
	ReasonPlain Reason = "plain"
	// ReasonAuthority is a certificate that no accepted authority has signed for this use.
	ReasonAuthority Reason = "authority"
	ReasonExpired   Reason = "expired"
	// ReasonIdentity is a certificate that names no holder, or more than one.
	ReasonIdentity Reason = "identity"
	ReasonFleet    Reason = "fleet"
	ReasonRole     Reason = "role"
	// ReasonHandshake is any other failure, such as an older version or no certificate.
	ReasonHandshake Reason = "handshake"
)

// Reasons returns all reasons of refusals.
func Reasons() []Reason {
	return []Reason{
		ReasonPlain,
		ReasonAuthority,
		ReasonExpired,
		ReasonIdentity,
		ReasonFleet,
		ReasonRole,
		ReasonHandshake,
	}
}

// ErrRefused says that a peer's certificate does not allow what was asked; nothing of it was done.
var ErrRefused = eris.New("refused by certificate")

// RefusedError is a refusal with its reason; it matches ErrRefused.
type RefusedError struct {
	reason Reason
	detail string
}

// Reason returns why the peer was refused.
func (e *RefusedError) Reason() Reason { return e.reason }

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrRefused, e.reason, e.detail)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

func refuse(reason Reason, format string, args ...any) error {
	return &RefusedError{
		reason: reason,
		detail: fmt.Sprintf(format, args...),
	}
}

// asRefused returns the refusal in an error, or one of the handshake.
func asRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &RefusedError{
		reason: ReasonHandshake,
		detail: err.Error(),
	}
}

// refuseChain explains why a chain of certificates was not verified.
func refuseChain(err error) error {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return refuse(ReasonExpired, "%v", err)
	}
	return refuse(ReasonAuthority, "%v", err)
}

// Alerts by which a server refuses a client's certificate (RFC 8446, section 6).
const (
	alertBadCertificate      tls.AlertError = 42
	alertCertificateRequired tls.AlertError = 116
)

// RefusedByPeer reports whether an error is the peer's refusal of this process's certificate. It ends the handshake,
// so that nothing of what was sent behind it was read.
func RefusedByPeer(err error) bool {
	var remote *net.OpError
	if !errors.As(err, &remote) || remote.Op != "remote error" {
		return false
	}
	switch remote.Err.Error() {
	case alertBadCertificate.Error(), alertCertificateRequired.Error():
		return true
	}
	return false
}
