package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/io/sidecar"
)

const (
	stateTimeout = 500 * time.Millisecond
	// stateChecks and stateCheckWait bound the wait for a boot ID that a crash changes.
	stateChecks    = 5
	stateCheckWait = 40 * time.Millisecond
)

// crashes knows what is in flight at the target and which requests are crash suspects.
type crashes struct {
	mu        sync.Mutex
	set       *suspect.Set
	isolation *suspect.Isolation
	bootID    string
	serial    int
}

func newCrashes() (*crashes, error) {
	set, err := suspect.NewSet()
	if err != nil {
		return nil, fmt.Errorf("create suspect set: %w", err)
	}
	return &crashes{
		set:       set,
		isolation: suspect.NewIsolation(),
	}, nil
}

// enter takes a request in, or refuses a suspect that may not run here now.
func (c *crashes) enter(now time.Time, id string, f suspect.Fingerprint) *waxwingpick.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.set.Status(now, f)
	if status == suspect.StatusRefused {
		return suspect.Refuse(0)
	}
	if !c.isolation.Enter(id, f, status) {
		return waxwingpick.NotRun(waxwingpick.ReasonCrashSuspect, retryAfterCrash, "another suspect runs at the target")
	}
	return nil
}

// proved notes that a request has shown life, so that another suspect may enter.
func (c *crashes) proved(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolation.Proved(id)
}

func (c *crashes) leave(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolation.Leave(id)
}

// crashed records the crash of the boot that ran until now and returns the fingerprints that were in flight.
func (c *crashes) crashed(now time.Time, target waxwingpick.TargetID, bootID string) []suspect.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := c.isolation.Crash()
	if len(inFlight) == 0 {
		return nil
	}
	c.serial++
	crash := suspect.Crash{
		ID:     fmt.Sprintf("%s/%s/%d", target, bootID, c.serial),
		At:     now,
		Target: target,
	}
	return c.set.Crashed(now, crash, inFlight)
}

// boot notes the engine's boot ID and returns the former one.
func (c *crashes) boot(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.bootID
	c.bootID = id
	return former
}

func (c *crashes) currentBoot() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootID
}

func (c *crashes) merge(now time.Time, records []suspect.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set.Merge(now, records)
}

func (c *crashes) records(now time.Time) []suspect.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Records(now)
}

func (c *crashes) sum(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Sum(now)
}

// suspectCrash finds out whether a broken stream means that the engine crashed, and records it.
//
// An engine that is going down may still answer with its old boot ID for a moment after it has lost its streams, so the
// same boot ID is believed only when it is still there after a while.
func (p *Process) suspectCrash(a sidecar.Attempt, cause error) {
	former := p.crashes.currentBoot()
	for range stateChecks {
		boot, alive := p.readBoot()
		if !alive || boot != former {
			p.recordCrash(former, a.ID, cause)
			if alive {
				p.crashes.boot(boot)
			}
			return
		}
		if !errors.Is(cause, waxwingpick.ErrStreamNotFound) || !p.pause(p.lifecycle, stateCheckWait) {
			return
		}
	}
}

// readBoot returns the engine's boot ID, and false where the engine does not answer.
func (p *Process) readBoot() (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	state, err := p.engine.State(ctx)
	return state.BootID, err == nil
}

// reportCrash records what was in flight when a plain service broke a call off.
func (p *Process) reportCrash(a sidecar.Attempt) {
	if p.options.Alive == nil || p.options.Alive() {
		return
	}
	p.recordCrash("", a.ID, waxwingpick.ErrEngineLost)
}

func (p *Process) recordCrash(bootID, attempt string, cause error) {
	records := p.crashes.crashed(p.timers.Now(), p.target, bootID)
	if len(records) == 0 {
		return
	}
	fingerprints := make([]string, 0, len(records))
	for _, r := range records {
		fingerprints = append(fingerprints, r.Fingerprint.String())
	}
	p.log.WithFields(logrus.Fields{
		"target":       p.target,
		"bootId":       bootID,
		"attempt":      attempt,
		"fingerprints": fingerprints,
		"error":        cause.Error(),
	}).Warn("target crashed with requests in flight")
}
