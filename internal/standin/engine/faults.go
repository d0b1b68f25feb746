package engine

import (
	"time"

	"waxwingpick"
	"waxwingpick/internal/standin/server"
)

// Faults are the lasting fault switches; the zero value has none.
type Faults struct {
	// Slow multiplies prefill and decode times; values up to 1 change nothing.
	Slow float64 `json:"slow"`
	// SlowAnswers delays the handling of each HTTP request.
	SlowAnswers server.Millis `json:"slowAnswers"`
	// RefuseWork is how many of the next requests and imports are refused, as while an order is carried out.
	RefuseWork int `json:"refuseWork"`
	// IgnoreFencing makes the engine take orders with an old fencing number.
	IgnoreFencing bool `json:"ignoreFencing"`
	// CrashInOrder is how many of the next orders crash the engine half way.
	CrashInOrder int `json:"crashInOrder"`
	// FailOrders is how many of the next orders end as failed.
	FailOrders int `json:"failOrders"`
	// LoadLag is the age of load reports.
	LoadLag server.Millis `json:"loadLag"`
	// CacheEventLag is the age of the newest published cache event.
	CacheEventLag server.Millis `json:"cacheEventLag"`
	// CacheEventGap leaves out every event whose sequence is a multiple of it; zero leaves out none.
	CacheEventGap int64 `json:"cacheEventGap"`
	// CutAfter breaks the next connection that has carried this many events; zero breaks none.
	CutAfter int `json:"cutAfter"`
	// CutStreams is how many connections CutAfter breaks.
	CutStreams int `json:"cutStreams"`
	// EndEarly ends the cut connections cleanly but without the last event.
	EndEarly bool `json:"endEarly"`
	// SlowFetch delays the answer to another engine that fetches KV cache.
	SlowFetch server.Millis `json:"slowFetch"`
	// CutFetch breaks the connection of a fetch behind half of the data, CorruptFetch changes one byte of it.
	CutFetch     bool `json:"cutFetch"`
	CorruptFetch bool `json:"corruptFetch"`
	// TrustFetch makes the engine give out whatever it holds under the name of a reference, unchecked.
	TrustFetch bool `json:"trustFetch"`
}

// refusesWork reports whether new work is refused; the lock is held.
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

// SetFaults replaces the lasting fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.server.SetSlow(f.SlowAnswers.Std())
}

// Slowed returns how many requests have arrived while SlowAnswers delayed them.
func (e *Engine) Slowed() int {
	return e.server.Slowed()
}

// Faults returns the lasting fault switches.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Down cuts the engine off without ending its process; zero means until Up.
func (e *Engine) Down(d time.Duration) {
	e.server.Down(d)
}

// Up ends Down.
func (e *Engine) Up() {
	e.server.Up()
}

// LoseAnswers breaks the connection after the effect of the next n requests whose path has the prefix.
func (e *Engine) LoseAnswers(pathPrefix string, n int) {
	e.server.LoseAnswers(pathPrefix, n)
}

// LoseRequests breaks the connection before the effect of the next n requests whose path has the prefix.
func (e *Engine) LoseRequests(pathPrefix string, n int) {
	e.server.LoseRequests(pathPrefix, n)
}

// cutDue reports whether a connection that has carried so many events is to be broken.
func (e *Engine) cutDue(events int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CutStreams > 0 && events >= e.faults.CutAfter
}

// cutNow is cutDue, and counts the connection as broken.
func (e *Engine) cutNow(events int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutStreams <= 0 || events < e.faults.CutAfter {
		return false
	}
	e.faults.CutStreams--
	return true
}
