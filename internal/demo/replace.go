package demo

import (
	"context"
	"slices"
)

// ReplaceSidecar starts a new sidecar for a target, drains and stops the old one, and returns when the entries use the
// new one.
func (c *Cluster) ReplaceSidecar(ctx context.Context, i int) error {
	old, o := c.sidecars[i], c.options[i]
	s, err := c.launchSidecar(o)
	if err != nil {
		return err
	}
	c.sidecars[i] = s
	c.instances[i] = targetInstance(o, s)
	c.platform.Set(c.instances...)
	if err := old.Stop(ctx); err != nil {
		return err
	}
	return c.awaitReady(ctx)
}

// ReplaceEntry starts a new entry, calls joined with its address when it is ready, and then drains and stops the old
// one.
func (c *Cluster) ReplaceEntry(ctx context.Context, i int, joined func(addr string)) error {
	old := c.entries[i]
	c.lastStarted++
	if err := c.startEntry(c.lastStarted); err != nil {
		return err
	}
	last := len(c.entries) - 1
	c.entries[i] = c.entries[last]
	c.entries = c.entries[:last]
	c.platform.Set(c.instances...)
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	joined(c.entries[i].CallerAddr())
	return old.Stop(ctx)
}

// StopEntry removes one entry from the cluster, and drains and stops it.
func (c *Cluster) StopEntry(ctx context.Context, i int) error {
	e := c.entries[i]
	c.entries = slices.Delete(slices.Clone(c.entries), i, i+1)
	return e.Stop(ctx)
}

// StopSidecar removes one sidecar from the cluster, and drains and stops it.
func (c *Cluster) StopSidecar(ctx context.Context, i int) error {
	s := c.sidecars[i]
	c.sidecars = slices.Delete(slices.Clone(c.sidecars), i, i+1)
	c.options = slices.Delete(slices.Clone(c.options), i, i+1)
	return s.Stop(ctx)
}
