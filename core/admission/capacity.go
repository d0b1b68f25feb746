package admission

import (
	"waxwingpick"
)

// selectNext returns the queued job to start next, or nil if none may start.
func (c *Controller) selectNext() *job {
	first, second := c.queues[kindQuick].head(c), c.queues[kindLong].head(c)
	if first == nil || (second != nil && c.virtualDeadline(second) < c.virtualDeadline(first)) {
		first, second = second, first
	}
	if first != nil && c.fits(kindOf(first), first.blocks, first.prefill) {
		return first
	}
	if second != nil && c.fits(kindOf(second), second.blocks, second.prefill) && !c.blocked(kindOf(second), c.virtualDeadline(second)) {
		return second
	}
	return nil
}

// fits reports whether the free slots and blocks allow a start.
func (c *Controller) fits(k kind, blocks, prefill int) bool {
	if c.runningTotal() >= c.slots() {
		return false
	}
	if c.settings.blocks > 0 && c.blocksTotal()+blocks > c.settings.blocks {
		return false
	}
	if k == kindQuick {
		return true
	}
	return c.longMayStart(blocks, prefill)
}

// longMayStart reports whether the limits on long requests allow a start.
func (c *Controller) longMayStart(blocks, prefill int) bool {
	if c.running[kindLong] >= c.slots()-c.reserved(c.slots()) {
		return false
	}
	if c.settings.blocks > 0 && c.blocks[kindLong]+blocks > c.longBlocks() {
		return false
	}
	outstanding := c.runningPrefill[kindLong]
	return outstanding == 0 || outstanding+prefill <= c.settings.longPrefillTokens
}

// blocked reports whether a start at the virtual deadline would overtake a queued job with an earlier one.
func (c *Controller) blocked(k kind, virtualDeadline int64) bool {
	if h := c.queues[k].head(c); h != nil && c.virtualDeadline(h) < virtualDeadline {
		return true
	}
	if k == kindLong {
		h := c.queues[kindQuick].head(c)
		return h != nil && c.virtualDeadline(h) < virtualDeadline
	}
	long := c.queues[kindLong].head(c)
	if long == nil || c.virtualDeadline(long) >= virtualDeadline || !c.longMayStart(long.blocks, long.prefill) {
		return false
	}
	return c.running[kindQuick] >= c.reserved(c.slots()) ||
		c.settings.blocks > 0 && c.blocks[kindQuick] >= c.reserved(c.settings.blocks)
}

// exceedsMemory reports whether the job does not even fit into the memory alone.
func (c *Controller) exceedsMemory(j *job) bool {
	if c.settings.blocks == 0 {
		return false
	}
	if kindOf(j) == kindLong {
		return j.blocks > c.longBlocks()
	}
	return j.blocks > c.settings.blocks
}

// displace ensures that the queue has space for a job. In a full queue, it refuses the last job if that has a larger
// key.
func (c *Controller) displace(j *job) bool {
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
	c.pendingRefusals = append(c.pendingRefusals, c.refuse(worst, waxwingpick.ReasonOverload))
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

func (c *Controller) longBlocks() int {
	return c.settings.blocks - c.reserved(c.settings.blocks)
}

func (c *Controller) runningTotal() int {
	return c.running[kindQuick] + c.running[kindLong]
}

func (c *Controller) blocksTotal() int {
	return c.blocks[kindQuick] + c.blocks[kindLong]
}

func (c *Controller) queued() int {
	return c.expiry.Len()
}
