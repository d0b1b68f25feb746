package config

import (
	"time"

	"waxwingpick"
)

// Key is the key of the configuration record in the key-value service.
const Key = "waxwingpick/config"

// TargetKind is the kind of the targets of a service.
type TargetKind string

// The kinds of targets.
const (
	KindEngine TargetKind = "engine"
	KindPlain  TargetKind = "plain"
)

// Record is the complete accepted configuration. Exactly one preset is in force.
type Record struct {
	// Revision increases by one with each accepted change.
	Revision int64 `json:"revision" yaml:"-"`
	// ChangeID identifies the change that created this revision.
	ChangeID string `json:"changeId" yaml:"-"`
	// InForce names the preset in force.
	InForce  string    `json:"inForce" yaml:"inForce" validate:"required,max=64"`
	Presets  []Preset  `json:"presets" yaml:"presets" validate:"required,min=1,max=32,dive"`
	Services []Service `json:"services" yaml:"services" validate:"required,min=1,max=64,dive"`
	Limits   Limits    `json:"limits" yaml:"limits"`
	// Leaving lists the instances that are announced to leave.
	Leaving []Leaving `json:"leaving" yaml:"-"`
	// History holds the newest changes, newest last.
	History []Change `json:"history" yaml:"-"`
}

// Preset is one named operating mode.
type Preset struct {
	Name    string        `json:"name" yaml:"name" validate:"required,max=64"`
	Classes []ClassPolicy `json:"classes" yaml:"classes" validate:"dive"`
	Roles   []RoleBounds  `json:"roles" yaml:"roles" validate:"dive"`
	// RoleChangePrice is the goodput, in requests, that a role change must gain in addition to its cost.
	RoleChangePrice float64 `json:"roleChangePrice" yaml:"roleChangePrice" validate:"min=0"`
	// RoleChangesInFlight is the maximum number of concurrent role changes per service and availability zone.
	RoleChangesInFlight int `json:"roleChangesInFlight" yaml:"roleChangesInFlight" validate:"min=0,max=16"`
	// Reserve is the fraction of an engine's KV-cache blocks that is reserved for quick requests.
	Reserve float64 `json:"reserve" yaml:"reserve" validate:"min=0,max=0.9"`
}

// ClassPolicy sets the deadlines and objectives of one class.
type ClassPolicy struct {
	Class waxwingpick.Class `json:"class" yaml:"class"`
	// Deadline is the maximum time until the response is complete.
	Deadline Duration `json:"deadline" yaml:"deadline"`
	// FirstToken is the latency objective for the first token of a model's response.
	FirstToken Duration `json:"firstToken" yaml:"firstToken"`
	// Objective is the fraction of requests that must be completed in time.
	Objective float64 `json:"objective" yaml:"objective" validate:"min=0,max=1"`
}

// RoleBounds bounds the number of engines of a service in a role.
type RoleBounds struct {
	Service waxwingpick.ServiceName `json:"service" yaml:"service" validate:"required"`
	Role    waxwingpick.Role        `json:"role" yaml:"role"`
	Min     int                     `json:"min" yaml:"min" validate:"min=0"`
	Max     int                     `json:"max" yaml:"max" validate:"min=0"`
}

// Service is a group of interchangeable targets.
type Service struct {
	Name waxwingpick.ServiceName `json:"name" yaml:"name" validate:"required,max=64"`
	Kind TargetKind              `json:"kind" yaml:"kind" validate:"oneof=engine plain"`
	// ChecksFencing is set if the engines refuse orders with an outdated fencing number.
	ChecksFencing bool `json:"checksFencing" yaml:"checksFencing"`
	// Models lists the models that the engines of the service may serve.
	Models []Model `json:"models,omitempty" yaml:"models" validate:"max=64,dive"`
	// RepeatableMethods lists the HTTP methods of a plain service that may be retried.
	RepeatableMethods []string `json:"repeatableMethods,omitempty" yaml:"repeatableMethods" validate:"max=16"`
	// MaxConcurrent is the maximum number of concurrent calls at one target of a plain service.
	MaxConcurrent int `json:"maxConcurrent,omitempty" yaml:"maxConcurrent" validate:"min=0"`
	// RoleChangeTime is how long an engine is unavailable when it changes its role.
	RoleChangeTime Duration `json:"roleChangeTime,omitempty" yaml:"roleChangeTime"`
}

// Model is a model, adapter and version for engines to load.
type Model struct {
	Name    string `json:"name" yaml:"name" validate:"required,max=128"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter" validate:"max=128"`
	Version string `json:"version" yaml:"version" validate:"required,max=64"`
	// Engines is the number of engines for the model. Models with zero share the remaining engines evenly.
	Engines int `json:"engines,omitempty" yaml:"engines" validate:"min=0"`
}

// Limits bounds the resources that callers and the control loop may use.
type Limits struct {
	MaxBodyBytes int `json:"maxBodyBytes" yaml:"maxBodyBytes" validate:"min=0,max=67108864"`
	MaxQueue     int `json:"maxQueue" yaml:"maxQueue" validate:"min=0"`
	// WorkspaceRequestsPerSecond is the rate limit of each workspace over the whole fleet. Zero means no limit.
	WorkspaceRequestsPerSecond float64 `json:"workspaceRequestsPerSecond" yaml:"workspaceRequestsPerSecond" validate:"min=0"`
	// WorkspaceRates lists workspaces with a different rate limit.
	WorkspaceRates []WorkspaceRate `json:"workspaceRates,omitempty" yaml:"workspaceRates" validate:"max=1024,dive"`
	// RetryBudget is the fraction of requests that may be retried.
	RetryBudget float64 `json:"retryBudget" yaml:"retryBudget" validate:"min=0,max=1"`
	// WeightLoadsPerMinute is the maximum rate of loads from the weight store.
	WeightLoadsPerMinute float64 `json:"weightLoadsPerMinute" yaml:"weightLoadsPerMinute" validate:"min=0"`
	// OrderRetention is how long the claim of an order is kept.
	OrderRetention Duration `json:"orderRetention" yaml:"orderRetention"`
}

// WorkspaceRate is the rate limit of one workspace, which replaces the common one.
type WorkspaceRate struct {
	Workspace waxwingpick.WorkspaceID `json:"workspace" yaml:"workspace" validate:"required,max=128"`
	// RequestsPerSecond is the rate limit over the whole fleet. Zero means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond" yaml:"requestsPerSecond" validate:"min=0"`
}

// Leaving is the announcement that an instance leaves.
type Leaving struct {
	Instance waxwingpick.InstanceID `json:"instance" validate:"required,max=128"`
	// By is the time by which the platform removes the instance. It is zero if none is set.
	By time.Time `json:"by,omitzero"`
	// Since is the time of the announcement by the operator.
	Since time.Time `json:"since"`
}

// Change is an accepted change in the history.
type Change struct {
	Revision int64     `json:"revision"`
	ChangeID string    `json:"changeId"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Summary  string    `json:"summary"`
}

// Duration is a time.Duration that is encoded as text, such as 800ms.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText encodes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes the duration from text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
