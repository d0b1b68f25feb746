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

// servesModels reports whether the entry knows every target as taking work, and each configured model as served.
func (c *Cluster) servesModels(ctx context.Context, e *entry.Process) bool {
	status, err := e.Status(ctx, operator.StatusRequest{})
	if err != nil || !status.Ready {
		return false
	}
	for _, t := range status.Targets {
		if !t.Known || !t.Usable || !c.knowsSidecar(t) {
			return false
		}
	}
	wanted := waxwingpick.NewSet[string]()
	for _, s := range c.layout.Config.Services {
		for _, m := range s.Models {
			wanted.Add(m.Name)
		}
	}
	return slices.Equal(e.Models(), wanted.Sorted())
}

// knowsSidecar reports whether the entry's report of a target came from the sidecar that runs now.
func (c *Cluster) knowsSidecar(t operator.TargetStatus) bool {
	for i, s := range c.sidecars {
		if c.options[i].Target != t.Target {
			continue
		}
		process, _, _ := strings.Cut(s.Incarnation(), ".")
		return strings.HasPrefix(t.Incarnation, process+".")
	}
	return true
}

// awaitReady waits until every entry is ready and every target serves a configured model.
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
