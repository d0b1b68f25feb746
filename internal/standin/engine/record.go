package engine

import (
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

const maxRecorded = 1 << 17

// ReceivedOrder is one order that reached the engine.
type ReceivedOrder struct {
	Order    waxwingpick.EngineOrder `json:"order"`
	At       time.Time               `json:"at"`
	Accepted bool                    `json:"accepted"`
}

// Violations counts what must never happen to an engine.
type Violations struct {
	// ConflictingOrders counts orders that came with another configuration while one was running.
	ConflictingOrders int `json:"conflictingOrders"`
	// StaleOrders counts orders with an older number that took effect.
	StaleOrders int `json:"staleOrders"`
	// CutRequests counts requests that an order cut.
	CutRequests int `json:"cutRequests"`
	// ForeignContinuations counts continuations from a partial answer of another request.
	ForeignContinuations int `json:"foreignContinuations"`
	// RepeatedStreams counts requests whose stream ID had been used before.
	RepeatedStreams int `json:"repeatedStreams"`
}

// Record is what an engine has seen since it was created, across its crashes.
type Record struct {
	// Runs counts the runs by stream ID.
	Runs map[string]int `json:"runs"`
	// Tokens is the number of generated tokens.
	Tokens int64 `json:"tokens"`
	// PrefillTokens is the number of prompt tokens computed, without those from a cache.
	PrefillTokens int64           `json:"prefillTokens"`
	Orders        []ReceivedOrder `json:"orders"`
	Cancelled     int             `json:"cancelled"`
	// Offered counts the references to KV cache that were given, Fetched those that another engine has used.
	Offered int `json:"offered"`
	Fetched int `json:"fetched"`
	Crashes int `json:"crashes"`
	// CrashedBy lists the streams whose prompt crashed the engine.
	CrashedBy  []string   `json:"crashedBy"`
	Violations Violations `json:"violations"`
}

// Record returns a copy of what the engine has seen.
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
