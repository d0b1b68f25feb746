package background

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group runs functions until it is closed; unlike a bare wait group it may be asked to start one while it closes.
type Group struct {
	mu     sync.Mutex
	closed bool
	wg     conc.WaitGroup
}

// Start runs fn in a goroutine of its own and reports whether it does; a closed group runs nothing.
func (g *Group) Start(fn func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Go(fn)
	return true
}

// Close lets nothing more start and waits for what runs; the functions may ask to start others meanwhile.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
