package waxwingpick

import (
	"context"
	"time"
)

// InstanceKind is the kind of process that an instance runs.
type InstanceKind string

// The kinds of instances.
const (
	KindEntry  InstanceKind = "entry"
	KindTarget InstanceKind = "target"
)

// Instance is a row of the platform's list, which may be out of date.
type Instance struct {
	ID   InstanceID       `json:"id"`
	Kind InstanceKind     `json:"kind"`
	Zone AvailabilityZone `json:"zone"`
	// Control is the IP address and port of the control API.
	Control string `json:"control"`
	// Data is the IP address and port for request bodies and streams.
	Data string `json:"data"`
	// Service and Target are set for targets.
	Service ServiceName `json:"service,omitempty"`
	Target  TargetID    `json:"target,omitempty"`
	// Leaving means that the platform is withdrawing the instance.
	Leaving bool `json:"leaving,omitempty"`
	// LeaveBy is the time of the withdrawal; zero if none is set.
	LeaveBy time.Time `json:"leaveBy,omitzero"`
}

// Platform returns the platform's list of live and leaving instances, which may be out of date.
type Platform interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// CountKind returns the number of instances of a kind.
func CountKind(instances []Instance, kind InstanceKind) int {
	n := 0
	for _, i := range instances {
		if i.Kind == kind {
			n++
		}
	}
	return n
}
