package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// Reason is the reason for which a peer was refused.
type Reason string

// The reasons for refusals.
const (
	// ReasonPlain means that the peer does not use TLS.
	ReasonPlain Reason = "plain"
	// ReasonAuthority means that no trusted authority has signed the certificate for this use.
	ReasonAuthority Reason = "authority"
	ReasonExpired   Reason = "expired"
	// ReasonIdentity means that the certificate contains no valid Identity, more than one, or not the expected one.
	ReasonIdentity Reason = "identity"
	ReasonFleet    Reason = "fleet"
	ReasonRole     Reason = "role"
	// ReasonHandshake means that the handshake failed otherwise, such as by an old TLS version or a missing certificate.
	ReasonHandshake Reason = "handshake"
)

// Reasons returns all reasons for refusals.
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

// ErrRefused reports that the certificate of a peer does not authorize the request, which was not executed.
var ErrRefused = eris.New("refused by certificate")

// RefusedError is a refusal with its reason. It wraps ErrRefused.
type RefusedError struct {
	reason Reason
	detail string
}

// Reason returns the reason for the refusal.
func (e *RefusedError) Reason() Reason { return e.reason }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrRefused, e.reason, e.detail)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

func newRefusal(reason Reason, format string, args ...any) error {
	return &RefusedError{
		reason: reason,
		detail: fmt.Sprintf(format, args...),
	}
}

// toRefusal returns the RefusedError that err wraps, or one with ReasonHandshake.
func toRefusal(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &RefusedError{
		reason: ReasonHandshake,
		detail: err.Error(),
	}
}

// chainRefusal maps an error of the chain verification to a refusal.
func chainRefusal(err error) error {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return newRefusal(ReasonExpired, "%v", err)
	}
	return newRefusal(ReasonAuthority, "%v", err)
}

// Alerts with which a server rejects the certificate of a client (RFC 8446, section 6).
const (
	alertBadCertificate      tls.AlertError = 42
	alertCertificateRequired tls.AlertError = 116
)

// RefusedByPeer reports whether err is an alert by which the peer rejects the certificate of this process. The alert
// aborts the handshake, so the peer has read no application data.
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
