package main

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"waxwingpick"
)

var _ waxwingpick.Platform = (*platform)(nil)

// platform serves the list of the nodes. The Data field of its first row holds the version of the list.
type platform struct {
	reads   atomic.Int64
	mu      sync.Mutex
	list    []waxwingpick.Instance
	version int
	at      time.Time
}

// Instances implements waxwingpick.Platform.
func (p *platform) Instances(context.Context) ([]waxwingpick.Instance, error) {
	p.reads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list), nil
}

// change publishes the next version of the list, in which the Leaving flag of one instance is inverted.
func (p *platform) change() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.at = time.Now()
	p.list = slices.Clone(p.list)
	p.list[0].Data = strconv.Itoa(p.version)
	i := 1 + p.version%(len(p.list)-1)
	p.list[i].Leaving = !p.list[i].Leaving
}

// since returns the time since a list was published; ok is false unless it is the newest one.
func (p *platform) since(list []waxwingpick.Instance) (d time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(list) == 0 || p.version == 0 || list[0].Data != strconv.Itoa(p.version) {
		return 0, false
	}
	return time.Since(p.at), true
}

// observeList returns a callback that records the delay from a change of the platform's list to its arrival at a node.
func (f *fleet) observeList(n *node) func() {
	seen := ""
	var mu sync.Mutex
	return func() {
		list := n.list.Instances()
		took, ok := f.platform.since(list)
		mu.Lock()
		defer mu.Unlock()
		if !ok || seen == list[0].Data {
			return
		}
		seen = list[0].Data
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = f.delays.RecordValue(max(took.Microseconds(), 1))
	}
}

// listConverged reports whether every node holds the newest list.
func (f *fleet) listConverged() bool {
	for _, n := range f.nodes {
		if _, ok := f.platform.since(n.list.Instances()); !ok {
			return false
		}
	}
	return true
}
