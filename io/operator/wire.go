package operator

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/burn"
	"waxwingpick/core/config"
	"waxwingpick/core/quota"
	"waxwingpick/core/suspect"
	"waxwingpick/internal/authority"
)

// The methods of operators' calls to an entry.
const (
	MethodStatus = "status"
	MethodBurn   = "burn"
	MethodLift   = "lift"
)

// StatusRequest asks an entry how the fleet stands; without fields it asks for everything.
type StatusRequest struct {
	// WithoutTargets leaves the targets out.
	WithoutTargets bool `json:"withoutTargets,omitempty"`
	// Reported asks only for these targets, and only where a report of them has reached the entry.
	Reported []waxwingpick.TargetID `json:"reported,omitempty"`
}

// Status is how the fleet stands as one entry sees it.
type Status struct {
	Entry    waxwingpick.InstanceID `json:"entry"`
	At       time.Time              `json:"at"`
	Ready    bool                   `json:"ready"`
	NotReady string                 `json:"notReady,omitempty"`
	Running  int                    `json:"running"`
	// ConfigRevision and Preset are what the entry acts under.
	ConfigRevision int64  `json:"configRevision"`
	Preset         string `json:"preset"`
	// CertificateEnd is when the entry's certificate towards other processes ends; zero without TLS.
	CertificateEnd time.Time           `json:"certificateEnd,omitzero"`
	Authorities    []authority.Holding `json:"authorities,omitempty"`
	Targets        []TargetStatus      `json:"targets,omitempty"`
	Suspects       []suspect.Record    `json:"suspects,omitempty"`
	// OverRate holds the workspaces that the entry refused most within the last minute.
	OverRate []quota.OverRate `json:"overRate,omitempty"`
}

// TargetStatus is how one target stands.
type TargetStatus struct {
	Service  waxwingpick.ServiceName      `json:"service"`
	Target   waxwingpick.TargetID         `json:"target"`
	Instance waxwingpick.InstanceID       `json:"instance"`
	Zone     waxwingpick.AvailabilityZone `json:"zone"`
	Active   waxwingpick.EngineConfig     `json:"active,omitzero"`
	Wanted   waxwingpick.EngineConfig     `json:"wanted,omitzero"`
	Leaving  bool                         `json:"leaving,omitempty"`
	Ejected  bool                         `json:"ejected,omitempty"`
	// Usable says that the entry sends new work there.
	Usable bool `json:"usable"`
	// Incarnation names the sidecar process and its time window.
	Incarnation string `json:"incarnation,omitempty"`
	// Known says that a report of the target has reached the entry.
	Known          bool                   `json:"known"`
	Load           waxwingpick.TargetLoad `json:"load,omitzero"`
	ConfigRevision int64                  `json:"configRevision,omitempty"`
}

// BurnRequest asks an entry for its counts.
type BurnRequest struct {
	// WithoutPoints leaves out the course of the last six hours.
	WithoutPoints bool `json:"withoutPoints,omitempty"`
}

// BurnResponse is one entry's counts and the objectives that it acts under.
type BurnResponse struct {
	Snapshot       burn.Snapshot        `json:"snapshot"`
	ConfigRevision int64                `json:"configRevision"`
	Preset         string               `json:"preset"`
	Classes        []config.ClassPolicy `json:"classes,omitempty"`
}

// LiftRequest clears a crash suspect.
type LiftRequest struct {
	Fingerprint suspect.Fingerprint `json:"fingerprint"`
}

// LiftResponse tells what is known of the fingerprint now.
type LiftResponse struct {
	Record suspect.Record `json:"record"`
}
