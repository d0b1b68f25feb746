package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"waxwingpick"
	"waxwingpick/internal/entry"
	"waxwingpick/io/operator"
)

// servesModels reports whether an entry is ready, holds a current report of every target, all of them usable, and
// serves each configured model.
func (c *Cluster) servesModels(ctx context.Context, e *entry.Process) bool {
	status, err := e.Status(ctx, operator.StatusRequest{})
	if err != nil || !status.Ready {
		return false
	}
	for _, t := range status.Targets {
		if !t.HasReport || !t.Usable || !c.hasCurrentReport(t) {
			return false
		}
	}
	models := waxwingpick.NewSet[string]()
	for _, s := range c.layout.Config.Services {
		for _, m := range s.Models {
			models.Add(m.Name)
		}
	}
	return slices.Equal(e.Models(), models.Sorted())
}

// hasCurrentReport reports whether a target's report came from its present sidecar, and not from one that was replaced.
func (c *Cluster) hasCurrentReport(t operator.TargetStatus) bool {
	for i, s := range c.sidecars {
		if c.options[i].Target != t.Target {
			continue
		}
		process, _, _ := strings.Cut(s.Incarnation(), ".")
		return strings.HasPrefix(t.Incarnation, process+".")
	}
	return true
}

// awaitReady waits until servesModels holds for every entry.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for {
		ready := true
		for _, e := range c.entries {
			ready = ready && c.servesModels(ctx, e)
		}
		if ready {
			return nil
		}
		if err := c.sleep(ctx, readyPoll); err != nil {
			return fmt.Errorf("entries are not ready: %w", err)
		}
	}
}
