package admission

import (
	"waxwingpick"
)

// pick returns the waiting job that is to start next, or nil where none may.
func (c *Controller) pick() *job {
	first, second := c.queues[kindQuick].head(c), c.queues[kindLong].head(c)
	if first == nil || (second != nil && c.turn(second) < c.turn(first)) {
		first, second = second, first
	}
	if first != nil && c.fits(kindOf(first), first.pieces, first.prefill) {
		return first
	}
	if second != nil && c.fits(kindOf(second), second.pieces, second.prefill) && !c.blocked(kindOf(second), c.turn(second)) {
		return second
	}
	return nil
}

// fits reports whether the free slots and pieces allow a start.
func (c *Controller) fits(k kind, pieces, prefill int) bool {
	if c.runningTotal() >= c.slots() {
		return false
	}
	if c.settings.pieces > 0 && c.piecesTotal()+pieces > c.settings.pieces {
		return false
	}
	if k == kindQuick {
		return true
	}
	return c.longMayStart(pieces, prefill)
}

// longMayStart reports whether the bounds on long requests alone allow a start.
func (c *Controller) longMayStart(pieces, prefill int) bool {
	if c.running[kindLong] >= c.slots()-c.reserved(c.slots()) {
		return false
	}
	if c.settings.pieces > 0 && c.pieces[kindLong]+pieces > c.longPieces() {
		return false
	}
	outstanding := c.runningPrefill[kindLong]
	return outstanding == 0 || outstanding+prefill <= c.settings.longPrefillTokens
}

// blocked reports whether a start in the given turn would go past a waiting job that goes before it.
func (c *Controller) blocked(k kind, turn int64) bool {
	if h := c.queues[k].head(c); h != nil && c.turn(h) < turn {
		return true
	}
	if k == kindLong {
		h := c.queues[kindQuick].head(c)
		return h != nil && c.turn(h) < turn
	}
	long := c.queues[kindLong].head(c)
	if long == nil || c.turn(long) >= turn || !c.longMayStart(long.pieces, long.prefill) {
		return false
	}
	return c.running[kindQuick] >= c.reserved(c.slots()) ||
		c.settings.pieces > 0 && c.pieces[kindQuick] >= c.reserved(c.settings.pieces)
}

// exceedsMemory reports whether the job could not even run alone.
func (c *Controller) exceedsMemory(j *job) bool {
	if c.settings.pieces == 0 {
		return false
	}
	if kindOf(j) == kindLong {
		return j.pieces > c.longPieces()
	}
	return j.pieces > c.settings.pieces
}

// makeRoom drops the last waiting job for one that goes before it where the queue is full.
func (c *Controller) makeRoom(j *job) bool {
	if c.queued() < c.settings.queue {
		return true
	}
	worst := c.queues[kindQuick].last()
	if long := c.queues[kindLong].last(); worst == nil || (long != nil && long.key > worst.key) {
		worst = long
	}
	if worst == nil || j.key >= worst.key {
		return false
	}
	c.given = append(c.given, c.giveUp(worst, waxwingpick.ReasonOverload))
	return true
}

func (c *Controller) slots() int {
	if c.settings.limiter != nil {
		return c.settings.limiter.Limit()
	}
	return c.settings.slots
}

func (c *Controller) reserved(total int) int {
	return int(float64(total) * c.settings.reserve)
}

func (c *Controller) longPieces() int {
	return c.settings.pieces - c.reserved(c.settings.pieces)
}

func (c *Controller) runningTotal() int {
	return c.running[kindQuick] + c.running[kindLong]
}

func (c *Controller) piecesTotal() int {
	return c.pieces[kindQuick] + c.pieces[kindLong]
}

func (c *Controller) queued() int {
	return c.expiry.Len()
}
