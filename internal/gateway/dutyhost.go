package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/duty"
	"waxwingpick/core/timer"
	"waxwingpick/internal/boottime"
)

const (
	// dutiesPrefix begins the keys of duties.
	dutiesPrefix = "waxwingpick/duty/"
	// dutyInterval is the time between two steps of a duty.
	dutyInterval = 100 * time.Millisecond
	// dutyCallTimeout bounds a call to the key-value service for a duty.
	dutyCallTimeout = time.Second
	// minDutyLease is the shortest lease of a duty. The right to act ends before the lease, and has to cover a call to the platform.
	minDutyLease = 3 * time.Second
)

// dutyHost runs the state machine of one duty that one gateway holds at a time.
type dutyHost struct {
	process *Process
	name    string
	key     string
	kv      waxwingpick.KeyValue
	// steady is the clock of the machine, which includes suspensions.
	steady func() time.Time

	mu      sync.Mutex
	machine *duty.Machine
	// held is whether the duty was held at the last step.
	held bool
	// loggedHolder is the holder that was last logged.
	loggedHolder waxwingpick.InstanceID
}

var _ sink = (*dutyHost)(nil)

// dutyTerms returns the terms of a duty from the times of the platform.
func dutyTerms(lease, thaw time.Duration) duty.Terms {
	return duty.Terms{
		TTL:    max(lease, minDutyLease),
		Quiet:  lease,
		Margin: thaw,
	}
}

func newDutyHost(p *Process, name string, terms duty.Terms) *dutyHost {
	return &dutyHost{
		process: p,
		name:    name,
		key:     dutiesPrefix + name,
		kv:      p.options.KeyValue,
		steady:  boottime.Now,
		machine: duty.New(p.options.Instance, terms, boottime.Now()),
	}
}

// step makes the call that is due.
func (h *dutyHost) step(time.Time) {
	if h.process.lifecycle.Err() != nil {
		return
	}
	rank := h.rank()
	era := h.process.follower.position().Era
	h.mu.Lock()
	now := h.steady()
	h.machine.SetRank(rank)
	h.machine.ObserveEra(now, era)
	c, due := h.machine.Next(now)
	h.logChange()
	h.mu.Unlock()
	if due {
		h.process.loops.Go(func() {
			h.perform(c)
		})
	}
}

// rank returns the position of this gateway among the listed ones, in the order of the hashes of their IDs.
func (h *dutyHost) rank() int {
	if h.process.peers == nil {
		return 0
	}
	return rankAmong(h.process.options.Instance, h.process.peers.ids())
}

// rankAmong returns how many of the others come before a process, in the order of the hashes of their IDs.
func rankAmong(self waxwingpick.InstanceID, others []waxwingpick.InstanceID) int {
	rank := 0
	for _, id := range others {
		if compareHashes(id, self) < 0 {
			rank++
		}
	}
	return rank
}

// compareHashes orders processes by the hashes of their IDs.
func compareHashes(a, b waxwingpick.InstanceID) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// perform makes a call to the key-value service and records its result.
func (h *dutyHost) perform(c duty.Call) {
	ctx, cancel := context.WithTimeout(h.process.lifecycle, dutyCallTimeout)
	defer cancel()
	var r duty.Result
	switch c.Kind {
	case duty.Grant:
		if r.Lease, r.Err = h.kv.Grant(ctx, c.TTL); r.Err == nil {
			// The service may grant less time than it was asked for, which a renewal tells.
			r.TTL, r.Err = h.kv.KeepAlive(ctx, r.Lease)
		}
	case duty.Write:
		r.Entry, r.Err = h.kv.CompareAndSwap(ctx, h.key, c.Expected, c.Value, c.Lease)
	case duty.Read:
		r.Entry, r.Err = h.kv.Get(ctx, h.key)
	case duty.Renew:
		r.TTL, r.Err = h.kv.KeepAlive(ctx, c.Lease)
	case duty.Revoke:
		r.Err = h.kv.Revoke(ctx, c.Lease)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine.Completed(h.steady(), c, r)
	if r.Err != nil {
		h.process.log.WithFields(logrus.Fields{
			"duty":  h.name,
			"call":  c.Kind.String(),
			"error": r.Err.Error(),
		}).Debug("call for a duty failed")
	}
	h.logChange()
}

// logChange logs that the duty was taken or lost, or that another gateway holds it. mu is held.
func (h *dutyHost) logChange() {
	held := h.machine.Holds()
	record, _ := h.machine.Holder()
	if held == h.held && record.Holder == h.loggedHolder {
		return
	}
	log := h.process.log.WithFields(logrus.Fields{
		"duty":     h.name,
		"holder":   record.Holder,
		"previous": h.loggedHolder,
		"token":    h.machine.HeldToken(),
		"era":      h.machine.Era(),
	})
	switch {
	case held && !h.held:
		log.Info("duty taken")
	case !held && h.held:
		log.Info("duty given up")
	default:
		log.Info("holder of the duty changed")
	}
	h.held = held
	h.loggedHolder = record.Holder
	h.process.options.Metrics.Duty(h.name, held, h.machine.HeldToken())
}

// holder returns the gateway that holds the duty as far as known; empty if there is none.
func (h *dutyHost) holder() waxwingpick.InstanceID {
	h.mu.Lock()
	defer h.mu.Unlock()
	record, _ := h.machine.Holder()
	return record.Holder
}

// begin returns the fencing token if a call that takes at most the given time may start now. end must follow.
func (h *dutyHost) begin(need time.Duration) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.steady()
	token, ok := h.machine.Token(now, need)
	return token, ok
}

// acted records that a call that begin allowed starts.
func (h *dutyHost) acted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine.Acted(h.steady())
}

// end records that no call runs. fenced means that the platform has seen a higher token.
func (h *dutyHost) end(fenced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.steady()
	h.machine.Finished(now)
	if fenced {
		h.machine.Fenced(now)
	}
}

// stop hands the duty over.
func (h *dutyHost) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine.Stop(h.steady())
}

// awaitRelease waits until the stopped duty is handed over, at most for a time.
func (h *dutyHost) awaitRelease(ctx context.Context, limit time.Duration) {
	for range limit / dutyInterval {
		h.mu.Lock()
		released := h.machine.Stopped()
		h.mu.Unlock()
		if released || !timer.Sleep(ctx, h.process.timers, dutyInterval) {
			return
		}
	}
}

func (h *dutyHost) prefix() string { return h.key }

func (h *dutyHost) replace(entries []waxwingpick.Entry) {
	i := slices.IndexFunc(entries, func(e waxwingpick.Entry) bool { return e.Key == h.key })
	if i < 0 {
		h.remove(h.key)
		return
	}
	h.put(entries[i])
}

func (h *dutyHost) put(e waxwingpick.Entry) {
	if e.Key != h.key {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine.Observe(h.steady(), e)
	h.logChange()
}

func (h *dutyHost) remove(key string) {
	h.put(waxwingpick.Entry{
		Key: key,
	})
}

func (h *dutyHost) batchBegins(origin)  {}
func (h *dutyHost) serviceDown()        {}
func (h *dutyHost) serviceUp(time.Time) {}
func (h *dutyHost) batchApplied()       {}
