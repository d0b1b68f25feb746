package mtls

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
)

// scheme is the scheme of the URI that names a certificate's holder.
const scheme = "waxwingpick"

// Role is the part that the holder of a certificate plays in the system.
type Role string

// The roles of certificates.
const (
	RoleEntry    Role = "entry"
	RoleSidecar  Role = "sidecar"
	RoleOperator Role = "operator"
	// RoleMonitor reads metrics only.
	RoleMonitor Role = "monitor"
)

// Identity is whom a certificate was issued to.
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

// Fleet returns the fleet's name.
func (i Identity) Fleet() string { return i.fleet }

// Role returns the part that the holder plays.
func (i Identity) Role() Role { return i.role }

// URI returns the subject alternative name that a certificate carries, such as waxwingpick://tanzplan/entry.
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

// serves reports whether other processes may connect to the holder.
func (i Identity) serves() bool {
	return i.role == RoleEntry || i.role == RoleSidecar
}

var errIdentity = eris.New("certificate names no holder")

// identityOf reads a certificate's only URI of the scheme.
func identityOf(cert *x509.Certificate) (Identity, error) {
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
	return Identity{}, eris.Wrapf(errIdentity, "role %q is none of entry, sidecar, operator, monitor", found[0].role)
}
