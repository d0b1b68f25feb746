package background

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group runs functions in goroutines until it is closed. Unlike with a bare wait group, Start may be called
// concurrently with Close.
type Group struct {
	mu     sync.Mutex
	closed bool
	wg     conc.WaitGroup
}

// Start runs fn in a new goroutine and returns true. It returns false without running fn if the group is closed.
func (g *Group) Start(fn func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Go(fn)
	return true
}

// Close prevents further starts and waits for the running functions, which may still call Start.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
