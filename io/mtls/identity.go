package mtls

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
)

// scheme is the scheme of the URI that identifies the holder of a certificate.
const scheme = "waxwingpick"

// Role is the kind of process that holds a certificate.
type Role string

// The roles of certificates.
const (
	RoleEntry    Role = "entry"
	RoleSidecar  Role = "sidecar"
	RoleOperator Role = "operator"
	// RoleMonitor may only read metrics.
	RoleMonitor Role = "monitor"
)

// Identity is the subject of a certificate: a fleet and a role in it.
type Identity struct {
	fleet string
	role  Role
}

// NewIdentity returns the identity of a role in a fleet.
func NewIdentity(fleet string, role Role) Identity {
	return Identity{
		fleet: fleet,
		role:  role,
	}
}

// Fleet returns the name of the fleet.
func (i Identity) Fleet() string { return i.fleet }

// Role returns the role of the holder.
func (i Identity) Role() Role { return i.role }

// URI returns the subject alternative name of the certificate, such as waxwingpick://tanzplan/entry.
func (i Identity) URI() *url.URL {
	return &url.URL{
		Scheme: scheme,
		Host:   i.fleet,
		Path:   "/" + string(i.role),
	}
}

// String returns the URI as text.
func (i Identity) String() string {
	return i.URI().String()
}

// serves reports whether the holder accepts connections of other processes.
func (i Identity) serves() bool {
	return i.role == RoleEntry || i.role == RoleSidecar
}

var errIdentity = eris.New("certificate names no holder")

// parseIdentity returns the identity in the only URI of a certificate with the scheme. Other counts are an error.
func parseIdentity(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		if u.Scheme == scheme {
			found = append(found, NewIdentity(u.Host, Role(strings.TrimPrefix(u.Path, "/"))))
		}
	}
	if len(found) != 1 {
		return Identity{}, eris.Wrapf(errIdentity, "%d URIs like %s://FLEET/ROLE, allowed is one", len(found), scheme)
	}
	switch found[0].role {
	case RoleEntry, RoleSidecar, RoleOperator, RoleMonitor:
		return found[0], nil
	}
	return Identity{}, eris.Wrapf(errIdentity, "role %q is not one of entry, sidecar, operator, monitor", found[0].role)
}
