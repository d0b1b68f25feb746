package engine

import (
	"time"

	"waxwingpick"
	"waxwingpick/internal/standin/server"
)

// Faults are the fault switches. The zero value has none on.
type Faults struct {
	// Slow multiplies prefill and decode times. Values up to 1 have no effect.
	Slow float64 `json:"slow"`
	// SlowResponses delays the handling of each HTTP request.
	SlowResponses server.Millis `json:"slowAnswers"`
	// RefuseWork is the number of next requests and imports to reject, as the engine does while it applies an order.
	RefuseWork int `json:"refuseWork"`
	// FailStarted is the status of the response to each request that the engine has started to run; zero for none.
	FailStarted int `json:"failStarted"`
	// IgnoreFencing makes the engine accept orders with an old fencing number.
	IgnoreFencing bool `json:"ignoreFencing"`
	// CrashInOrder is the number of next orders that crash the engine while it applies them.
	CrashInOrder int `json:"crashInOrder"`
	// FailOrders is the number of next orders that fail.
	FailOrders int `json:"failOrders"`
	// LoadLag is the age of load reports.
	LoadLag server.Millis `json:"loadLag"`
	// CacheEventLag is the age of the newest published cache event.
	CacheEventLag server.Millis `json:"cacheEventLag"`
	// CacheEventGap omits every event whose sequence number is a multiple of it. Zero omits none.
	CacheEventGap int64 `json:"cacheEventGap"`
	// CutAfter is the number of events after which a connection breaks. CutStreams sets how many connections do.
	CutAfter int `json:"cutAfter"`
	// CutStreams is the number of connections to break. Zero breaks none.
	CutStreams int `json:"cutStreams"`
	// EndEarly ends these responses regularly, but without the last event, instead of breaking the connection.
	EndEarly bool `json:"endEarly"`
	// SlowFetch delays the response to another engine that fetches KV cache.
	SlowFetch server.Millis `json:"slowFetch"`
	// CutFetch breaks the connection of a fetch after half of the data. CorruptFetch changes one byte of the data.
	CutFetch     bool `json:"cutFetch"`
	CorruptFetch bool `json:"corruptFetch"`
	// TrustFetch makes the engine serve KV cache by its name alone, without checking the token of the reference.
	TrustFetch bool `json:"trustFetch"`
}

// refusesWork reports whether to reject new work. The lock is held.
func (e *Engine) refusesWork() bool {
	if e.faults.RefuseWork > 0 {
		e.faults.RefuseWork--
		return true
	}
	return e.phase == waxwingpick.OrderRunning
}

func (f Faults) slowdown() float64 {
	return max(1, f.Slow)
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.server.SetSlow(f.SlowResponses.Std())
}

// Slowed returns the number of requests that SlowResponses has delayed.
func (e *Engine) Slowed() int {
	return e.server.Slowed()
}

// Faults returns the fault switches.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Down closes all connections and refuses new ones for the duration. Zero means until Up. The process keeps its state.
func (e *Engine) Down(d time.Duration) {
	e.server.Down(d)
}

// Up ends Down.
func (e *Engine) Up() {
	e.server.Up()
}

// LoseResponses loses the responses of the next n requests whose path has the prefix. The requests take effect.
func (e *Engine) LoseResponses(pathPrefix string, n int) {
	e.server.LoseResponses(pathPrefix, n)
}

// LoseRequests loses the next n requests whose path has the prefix. They have no effect.
func (e *Engine) LoseRequests(pathPrefix string, n int) {
	e.server.LoseRequests(pathPrefix, n)
}

// mustCut reports whether to break a connection after this number of events.
func (e *Engine) mustCut(events int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CutStreams > 0 && events >= e.faults.CutAfter
}

// takeCut is like mustCut, and counts the connection as broken.
func (e *Engine) takeCut(events int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutStreams <= 0 || events < e.faults.CutAfter {
		return false
	}
	e.faults.CutStreams--
	return true
}
