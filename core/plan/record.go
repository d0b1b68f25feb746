package plan

import "waxwingpick"

// KeyPrefix is the key prefix of the plan records in the key-value service.
const KeyPrefix = "waxwingpick/plan/"

// Key returns the key of a service's plan record.
func Key(service waxwingpick.ServiceName) string {
	return KeyPrefix + string(service)
}

// Record is the plan of one service. Engine orders come only from it.
type Record struct {
	Service waxwingpick.ServiceName `json:"service"`
	// Revision increases by one with each committed write.
	Revision int64 `json:"revision"`
	// ChangeID identifies the write, so that the outcome of a write without a response can be determined.
	ChangeID string `json:"changeId"`
	// Epoch increases with each new holder of the authority.
	Epoch  int64                  `json:"epoch"`
	Holder waxwingpick.InstanceID `json:"holder"`
	// ConfigRevision is the configuration revision that the plan is based on.
	ConfigRevision int64 `json:"configRevision"`
	// NextOrder is the next order number of the service.
	NextOrder int64    `json:"nextOrder"`
	Targets   []Target `json:"targets"`
}

// Target is the planned state of one target.
type Target struct {
	ID       waxwingpick.TargetID         `json:"id"`
	Instance waxwingpick.InstanceID       `json:"instance"`
	Zone     waxwingpick.AvailabilityZone `json:"zone"`
	// Order is the newest order for the target. Its number is zero if there is none.
	Order waxwingpick.EngineOrder `json:"order"`
}
