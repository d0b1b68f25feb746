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
	// maxStateChecks and stateCheckInterval bound the wait for the new boot ID of a crashed engine.
	maxStateChecks     = 5
	stateCheckInterval = 40 * time.Millisecond
)

// crashes tracks the requests in flight at the target and the crash suspects.
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

// enter adds a request in flight, or refuses a suspect that may not run now.
func (c *crashes) enter(now time.Time, id string, f suspect.Fingerprint) *waxwingpick.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.set.Status(now, f)
	if status == suspect.StatusRefused {
		return suspect.Refuse(0)
	}
	if !c.isolation.Admit(id, f, status) {
		return waxwingpick.NotRun(waxwingpick.ReasonCrashSuspect, retryAfterCrash, "another suspect is running at the target")
	}
	return nil
}

// markProgress records the first output of a request, after which another suspect may enter.
func (c *crashes) markProgress(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolation.ReportProgress(id)
}

func (c *crashes) leave(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolation.Release(id)
}

// crashed records a crash of the given boot and returns the suspect records of the requests in flight.
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

// setBootID sets the engine's boot ID and returns the previous one.
func (c *crashes) setBootID(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.bootID
	c.bootID = id
	return previous
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

// checkCrash determines whether a broken stream was caused by a crash of the engine, and records the crash.
//
// A crashing engine may still return its old boot ID for a moment after it has lost its streams, so an unchanged boot ID
// only counts if it stays the same over several checks.
func (p *Process) checkCrash(a sidecar.Attempt, cause error) {
	previous := p.crashes.currentBoot()
	for range maxStateChecks {
		boot, alive := p.readBoot()
		if !alive || boot != previous {
			p.recordCrash(previous, a.ID, cause)
			if alive {
				p.crashes.setBootID(boot)
			}
			return
		}
		if !errors.Is(cause, waxwingpick.ErrStreamNotFound) || !p.pause(p.lifecycle, stateCheckInterval) {
			return
		}
	}
}

// readBoot returns the engine's boot ID, or false if the engine does not respond.
func (p *Process) readBoot() (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	state, err := p.engine.State(ctx)
	return state.BootID, err == nil
}

// reportCrash records the requests in flight if a broken call means that the plain service has crashed.
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
