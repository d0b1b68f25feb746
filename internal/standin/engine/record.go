package engine

import (
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

const maxRecorded = 1 << 17

// ReceivedOrder is an order that the engine received.
type ReceivedOrder struct {
	Order    waxwingpick.EngineOrder `json:"order"`
	At       time.Time               `json:"at"`
	Accepted bool                    `json:"accepted"`
}

// Violations counts events that must never happen to an engine.
type Violations struct {
	// ConflictingOrders counts orders with a different configuration that arrived while one was being applied.
	ConflictingOrders int `json:"conflictingOrders"`
	// StaleOrders counts orders with an older number that took effect.
	StaleOrders int `json:"staleOrders"`
	// CutRequests counts running requests that an order cut.
	CutRequests int `json:"cutRequests"`
	// ForeignContinuations counts continuations of a partial response that belongs to another prompt.
	ForeignContinuations int `json:"foreignContinuations"`
	// RepeatedStreams counts requests whose stream ID was used before.
	RepeatedStreams int `json:"repeatedStreams"`
}

// Record is what an engine received and ran since it was created. Crashes do not reset it.
type Record struct {
	// Runs is the number of runs by stream ID.
	Runs map[string]int `json:"runs"`
	// Tokens is the number of generated tokens.
	Tokens int64 `json:"tokens"`
	// PrefillTokens is the number of computed prompt tokens, without those from a cache.
	PrefillTokens int64           `json:"prefillTokens"`
	Orders        []ReceivedOrder `json:"orders"`
	Cancelled     int             `json:"cancelled"`
	// Offered is the number of references to KV cache that were exported, Fetched the number of those that were used.
	Offered int `json:"offered"`
	Fetched int `json:"fetched"`
	Crashes int `json:"crashes"`
	// CrashedBy lists the streams whose prompt crashed the engine.
	CrashedBy  []string   `json:"crashedBy"`
	Violations Violations `json:"violations"`
}

// Record returns a copy of the record.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Runs = maps.Clone(r.Runs)
	r.Orders = slices.Clone(r.Orders)
	r.CrashedBy = slices.Clone(r.CrashedBy)
	return r
}

func (e *Engine) recordRun(id string) {
	if len(e.record.Runs) < maxRecorded {
		e.record.Runs[id]++
	}
}

func (e *Engine) recordOrder(order waxwingpick.EngineOrder, at time.Time, accepted bool) {
	if len(e.record.Orders) >= maxRecorded {
		return
	}
	e.record.Orders = append(e.record.Orders, ReceivedOrder{
		Order:    order,
		At:       at,
		Accepted: accepted,
	})
}
