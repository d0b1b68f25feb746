package engine

import (
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
	"waxwingpick/internal/standin/server"
)

// maxBarred is the number of cancelled names that are remembered.
const maxBarred = 4096

// Engine is one running stand-in.
type Engine struct {
	cfg    settings
	server *server.Server
	timers waxwingpick.Timers

	mu      sync.Mutex
	closed  bool
	bootID  string
	order   waxwingpick.EngineOrder
	phase   waxwingpick.OrderPhase
	active  waxwingpick.EngineConfig
	changes int
	stop    func()
	streams map[string]*stream
	waiting []*stream
	running []*stream
	ended   []string
	handles map[string]*handle
	offers  map[string]offer
	barred  *simplelru.LRU[string, struct{}]
	used    int
	serial  int64
	faults  Faults
	loads   []loadSample
	cache   prefixCache
	record  Record
}

// New starts an engine.
func New(opts ...Option) (*Engine, error) {
	cfg := defaults()
	for _, opt := range opts {
		if err := opt(&cfg); err != nil {
			return nil, fmt.Errorf("engine option: %w", err)
		}
	}
	e := &Engine{
		cfg: cfg,
	}
	e.faults.IgnoreFencing = !cfg.checksFencing
	e.record.Runs = make(map[string]int)
	s, err := server.New(e.routes, cfg.server...)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e.server = s
	e.timers = s.Timers()
	e.boot()
	e.server.Start()
	return e, nil
}

// Addr returns the engine's IP address and port.
func (e *Engine) Addr() string {
	return e.server.Addr()
}

// Close stops the engine and breaks its connections.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.forget()
	e.mu.Unlock()
	e.server.Close()
}

// Crash ends the engine process at once; it comes back with a new boot ID after its restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// State returns the engine's order and active configuration.
func (e *Engine) State() waxwingpick.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return waxwingpick.EngineState{
		BootID: e.bootID,
		Order:  e.order,
		Phase:  e.phase,
		Active: e.active,
		// One address serves everything.
		KVAddress: e.kvAddress(),
	}
}

func (e *Engine) crash() {
	if e.closed {
		return
	}
	e.record.Crashes++
	e.server.Crash()
	e.forget()
	e.boot()
}

// boot gives the state after a start. The newest fencing number outlives it,
// as an engine that forgot it could not refuse an old order.
func (e *Engine) boot() {
	e.bootID = uuid.NewString()
	e.active = e.cfg.boot
	if e.order.Number == 0 {
		e.phase = waxwingpick.OrderIdle
	} else {
		e.phase = waxwingpick.OrderFailed
	}
	e.streams = make(map[string]*stream)
	e.handles = make(map[string]*handle)
	e.offers = make(map[string]offer)
	// The size is positive, so no error can come.
	e.barred, _ = simplelru.NewLRU[string, struct{}](maxBarred, nil)
	e.cache.reset(e.cfg.pieces)
	e.sampleLoad(e.now())
}

// forget drops everything that lives in the process's memory.
func (e *Engine) forget() {
	if e.stop != nil {
		e.stop()
		e.stop = nil
	}
	e.changes++
	for _, s := range e.streams {
		s.end(phaseCut)
	}
	for _, h := range e.handles {
		h.stop()
	}
	e.waiting = nil
	e.running = nil
	e.ended = nil
	e.used = 0
}

func (e *Engine) now() time.Time {
	return e.timers.Now()
}
