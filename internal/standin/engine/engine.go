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

// maxCancelledIDs is the number of cancelled IDs that are kept.
const maxCancelledIDs = 4096

// Engine is a running stand-in.
type Engine struct {
	cfg    settings
	server *server.Server
	timers waxwingpick.Timers

	mu           sync.Mutex
	closed       bool
	bootID       string
	order        waxwingpick.EngineOrder
	phase        waxwingpick.OrderPhase
	active       waxwingpick.EngineConfig
	changeSerial int
	stopTimer    func()
	streams      map[string]*stream
	waiting      []*stream
	running      []*stream
	ended        []string
	handles      map[string]*handle
	offers       map[string]offer
	cancelledIDs *simplelru.LRU[string, struct{}]
	usedBlocks   int
	serial       int64
	faults       Faults
	loadSamples  []loadSample
	cache        prefixCache
	record       Record
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

// Close stops the engine and closes its connections.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.discardState()
	e.mu.Unlock()
	e.server.Close()
}

// Crash crashes the engine. It restarts with a new boot ID after its restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// State returns the order and the active configuration.
func (e *Engine) State() waxwingpick.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return waxwingpick.EngineState{
		BootID: e.bootID,
		Order:  e.order,
		Phase:  e.phase,
		Active: e.active,
		// KV cache is served on the same address as all other requests.
		KVAddress: e.kvAddress(),
	}
}

func (e *Engine) crash() {
	if e.closed {
		return
	}
	e.record.Crashes++
	e.server.Crash()
	e.discardState()
	e.boot()
}

// boot sets the state after a start. The order with the newest fencing number
// survives restarts. Without it the engine could not reject an older order.
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
	// NewLRU fails only for a size that is not positive.
	e.cancelledIDs, _ = simplelru.NewLRU[string, struct{}](maxCancelledIDs, nil)
	e.cache.reset(e.cfg.kvBlocks)
	e.sampleLoad(e.now())
}

// discardState discards the state that a process loses when it ends.
func (e *Engine) discardState() {
	if e.stopTimer != nil {
		e.stopTimer()
		e.stopTimer = nil
	}
	e.changeSerial++
	for _, s := range e.streams {
		s.end(phaseCut)
	}
	for _, h := range e.handles {
		h.stopTimer()
	}
	e.waiting = nil
	e.running = nil
	e.ended = nil
	e.usedBlocks = 0
}

func (e *Engine) now() time.Time {
	return e.timers.Now()
}
