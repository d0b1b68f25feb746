package etcd

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"waxwingpick"
)

// The paths of the admin interface. PathCalls takes GET, the others POST.
const (
	// PathFaults sets the fault switches. The body is a Faults.
	PathFaults = "/admin/faults"
	// PathLapse expires the lease of a key. The body is a Lapse.
	PathLapse = "/admin/lapse"
	// PathBreakWatches breaks all watches.
	PathBreakWatches = "/admin/breakWatches"
	// PathCalls returns the call counters as a list of CallCount.
	PathCalls = "/admin/calls"
)

// Faults are the fault switches. A switch that a request omits is turned off.
type Faults struct {
	// Down makes every call fail as unavailable.
	Down bool `json:"down"`
	// Cut closes the connection of each call, without effect or response.
	Cut bool `json:"cut"`
	// DelayMillis delays the effect of each call, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseResponses is the number of next writes that take effect and lose their response.
	LoseResponses int `json:"loseAnswers"`
	// DropEvents drops all watch events.
	DropEvents bool `json:"dropEvents"`
	// CallsPerSecond is the maximum call rate; calls above it fail. Zero means no maximum.
	CallsPerSecond int `json:"callsPerSecond"`
}

// Lapse names the key whose lease expires.
type Lapse struct {
	Key string `json:"key"`
}

// CallCount is the number of calls of a kind since the start.
type CallCount struct {
	Kind  string `json:"kind"`
	Calls int64  `json:"calls"`
}

// SetFaults sets all fault switches.
func (s *Server) SetFaults(f Faults) {
	s.SetCut(f.Cut)
	s.store.SetDown(f.Down)
	s.store.SetDelay(time.Duration(f.DelayMillis) * time.Millisecond)
	s.store.LoseResponses(f.LoseResponses)
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
		writeError(ctx, err)
		return
	}
	s.SetFaults(f)
	writeJSON(ctx, f)
}

func (s *Server) adminLapse(ctx *fasthttp.RequestCtx) {
	var l Lapse
	if err := json.Unmarshal(ctx.PostBody(), &l); err != nil {
		writeError(ctx, err)
		return
	}
	if !s.store.ExpireKey(l.Key) {
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
	writeJSON(ctx, calls)
}
