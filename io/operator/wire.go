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

// The names of the methods that operators call.
const (
	MethodStatus = "status"
	MethodBurn   = "burn"
	MethodLift   = "lift"
)

// StatusRequest requests the status of the fleet. The zero value requests the complete status.
type StatusRequest struct {
	// WithoutTargets omits the targets.
	WithoutTargets bool `json:"withoutTargets,omitempty"`
	// Reported limits the targets to those in the list of which the entry has received a report.
	Reported []waxwingpick.TargetID `json:"reported,omitempty"`
}

// Status is the status of the fleet as observed by one entry.
type Status struct {
	Entry    waxwingpick.InstanceID `json:"entry"`
	At       time.Time              `json:"at"`
	Ready    bool                   `json:"ready"`
	NotReady string                 `json:"notReady,omitempty"`
	Running  int                    `json:"running"`
	// ConfigRevision and Preset identify the configuration that the entry applies.
	ConfigRevision int64  `json:"configRevision"`
	Preset         string `json:"preset"`
	// CertificateEnd is the expiry time of the certificate that the entry presents to other processes, zero without TLS.
	CertificateEnd time.Time           `json:"certificateEnd,omitzero"`
	Authorities    []authority.Holding `json:"authorities,omitempty"`
	Targets        []TargetStatus      `json:"targets,omitempty"`
	Suspects       []suspect.Record    `json:"suspects,omitempty"`
	// OverRate holds the workspaces of which the entry refused the most requests within the last minute.
	OverRate []quota.OverRate `json:"overRate,omitempty"`
}

// TargetStatus is the status of one target.
type TargetStatus struct {
	Service  waxwingpick.ServiceName      `json:"service"`
	Target   waxwingpick.TargetID         `json:"target"`
	Instance waxwingpick.InstanceID       `json:"instance"`
	Zone     waxwingpick.AvailabilityZone `json:"zone"`
	Active   waxwingpick.EngineConfig     `json:"active,omitzero"`
	Desired  waxwingpick.EngineConfig     `json:"wanted,omitzero"`
	Leaving  bool                         `json:"leaving,omitempty"`
	Ejected  bool                         `json:"ejected,omitempty"`
	// Usable reports that the entry sends new requests to the target.
	Usable bool `json:"usable"`
	// Incarnation identifies the incarnation of the sidecar process and its time window.
	Incarnation string `json:"incarnation,omitempty"`
	// HasReport reports that the entry has received a report of the target.
	HasReport      bool                   `json:"known"`
	Load           waxwingpick.TargetLoad `json:"load,omitzero"`
	ConfigRevision int64                  `json:"configRevision,omitempty"`
}

// BurnRequest requests the counts of an entry.
type BurnRequest struct {
	// WithoutPoints omits the time series of the last six hours.
	WithoutPoints bool `json:"withoutPoints,omitempty"`
}

// BurnResponse holds the counts of one entry and the objectives that it applies.
type BurnResponse struct {
	Snapshot       burn.Snapshot        `json:"snapshot"`
	ConfigRevision int64                `json:"configRevision"`
	Preset         string               `json:"preset"`
	Classes        []config.ClassPolicy `json:"classes,omitempty"`
}

// LiftRequest requests the clearing of a crash suspect.
type LiftRequest struct {
	Fingerprint suspect.Fingerprint `json:"fingerprint"`
}

// LiftResponse holds the record of the fingerprint after the request.
type LiftResponse struct {
	Record suspect.Record `json:"record"`
}
