package waxwingpick

import (
	"context"
	"time"
)

// InstanceKind tells what runs on an instance.
type InstanceKind string

// The kinds of instances.
const (
	KindEntry  InstanceKind = "entry"
	KindTarget InstanceKind = "target"
)

// Instance is one row of the platform's lagging list.
type Instance struct {
	ID   InstanceID       `json:"id"`
	Kind InstanceKind     `json:"kind"`
	Zone AvailabilityZone `json:"zone"`
	// Control is the IP address and port for control calls.
	Control string `json:"control"`
	// Data is the IP address and port for request bodies and streams.
	Data string `json:"data"`
	// Service and Target are set for targets.
	Service ServiceName `json:"service,omitempty"`
	Target  TargetID    `json:"target,omitempty"`
	// Leaving says that the platform takes the instance away.
	Leaving bool `json:"leaving,omitempty"`
	// LeaveBy is the time of the withdrawal; zero where none is set.
	LeaveBy time.Time `json:"leaveBy,omitzero"`
}

// Platform is the port to the platform's lagging list of live and leaving instances.
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
