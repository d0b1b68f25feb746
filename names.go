package waxwingpick

import "github.com/rotisserie/eris"

// InstanceID identifies an instance, a machine that runs a target or an entry.
type InstanceID string

// TargetID identifies a back end, which is a model engine or a plain service process.
type TargetID string

// ServiceName identifies a group of interchangeable targets.
type ServiceName string

// AvailabilityZone identifies an availability zone of a region.
type AvailabilityZone string

// WorkspaceID identifies the tenant on whose behalf a caller sends requests.
type WorkspaceID string

// Class is the latency class of a request.
type Class uint8

// The latency classes.
const (
	ClassQuick Class = iota
	ClassLong
	ClassOrder
)

// Classes returns every class.
func Classes() []Class {
	return []Class{ClassQuick, ClassLong, ClassOrder}
}

// String returns the name used in configuration, metrics and headers.
func (c Class) String() string {
	switch c {
	case ClassQuick:
		return "quick"
	case ClassLong:
		return "long"
	case ClassOrder:
		return "order"
	}
	return "unknown"
}

// MarshalText encodes the class as its name.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText decodes the class from its name.
func (c *Class) UnmarshalText(text []byte) error {
	for _, known := range Classes() {
		if known.String() == string(text) {
			*c = known
			return nil
		}
	}
	return eris.Errorf("class %q is none of quick, long, order", text)
}

// Role is the share of the model work that an engine does.
type Role uint8

// The roles of an engine.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

// Roles returns every role.
func Roles() []Role {
	return []Role{RoleMixed, RolePrefill, RoleDecode}
}

// String returns the name used in configuration and engine orders.
func (r Role) String() string {
	switch r {
	case RoleMixed:
		return "mixed"
	case RolePrefill:
		return "prefill"
	case RoleDecode:
		return "decode"
	}
	return "unknown"
}

// MarshalText encodes the role as its name.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes the role from its name.
func (r *Role) UnmarshalText(text []byte) error {
	for _, known := range Roles() {
		if known.String() == string(text) {
			*r = known
			return nil
		}
	}
	return eris.Errorf("role %q is none of mixed, prefill, decode", text)
}
