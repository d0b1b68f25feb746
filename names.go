package waxwingpick

import "github.com/rotisserie/eris"

// InstanceID names one instance, a machine that runs a target or an entry.
type InstanceID string

// TargetID names one back end: a model engine or a plain service process.
type TargetID string

// ServiceName names a group of interchangeable targets.
type ServiceName string

// AvailabilityZone names one availability zone of a region.
type AvailabilityZone string

// WorkspaceID names the tenant on whose behalf a caller sends requests.
type WorkspaceID string

// Class is the latency class of a request.
type Class uint8

// The classes of requests.
const (
	ClassQuick Class = iota
	ClassLong
	ClassOrder
)

// Classes lists every class.
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

// MarshalText encodes the class by its name.
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

// Role is the part of the model work that an engine takes.
type Role uint8

// The roles of an engine.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

// Roles lists every role.
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

// MarshalText encodes the role by its name.
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
