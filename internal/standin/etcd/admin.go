package etcd

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"waxwingpick"
)

// The admin paths, for another process; all take POST but the counters, which take GET.
const (
	// PathFaults sets the fault switches from a Faults.
	PathFaults = "/admin/faults"
	// PathLapse ends the lease of a key, given as a Lapse, or every lease.
	PathLapse = "/admin/lapse"
	// PathBreakWatches ends all watches.
	PathBreakWatches = "/admin/breakWatches"
	// PathCalls returns the call counters as a list of CallCount.
	PathCalls = "/admin/calls"
)

// Faults are the fault switches; what a request leaves out is switched off.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Cut closes connections without effect or answer.
	Cut bool `json:"cut"`
	// DelayMillis delays the effect of each call, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers loses the answers of the next writes after they took effect.
	LoseAnswers int `json:"loseAnswers"`
	// DropEvents makes watches miss changes.
	DropEvents bool `json:"dropEvents"`
	// CallsPerSecond refuses calls above it; zero is no bound.
	CallsPerSecond int `json:"callsPerSecond"`
}

// Lapse names the key whose lease ends.
type Lapse struct {
	Key string `json:"key"`
}

// CallCount is the number of calls of one kind since the start.
type CallCount struct {
	Kind  string `json:"kind"`
	Calls int64  `json:"calls"`
}

// Set puts the switches into force.
func (s *Server) Set(f Faults) {
	s.SetCut(f.Cut)
	s.store.SetDown(f.Down)
	s.store.SetDelay(time.Duration(f.DelayMillis) * time.Millisecond)
	s.store.LoseAnswers(f.LoseAnswers)
	s.store.SetDropEvents(f.DropEvents)
	s.store.SetRate(f.CallsPerSecond)
}

func (s *Server) adminHandler(path string) (fasthttp.RequestHandler, bool) {
	switch path {
	case PathFaults:
		return s.adminFaults, true
	case PathLapse:
		return s.adminLapse, true
	case PathBreakWatches:
		return func(*fasthttp.RequestCtx) { s.store.BreakWatches() }, true
	case PathCalls:
		return s.adminCalls, true
	}
	return nil, false
}

func (s *Server) adminFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		answerError(ctx, err)
		return
	}
	s.Set(f)
	answer(ctx, f)
}

func (s *Server) adminLapse(ctx *fasthttp.RequestCtx) {
	var l Lapse
	if err := json.Unmarshal(ctx.PostBody(), &l); err != nil {
		answerError(ctx, err)
		return
	}
	if !s.store.LapseKey(l.Key) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) adminCalls(ctx *fasthttp.RequestCtx) {
	var calls []CallCount
	for _, kind := range waxwingpick.KeyValueCalls() {
		calls = append(calls, CallCount{
			Kind:  kind.String(),
			Calls: s.store.Calls(kind),
		})
	}
	answer(ctx, calls)
}
