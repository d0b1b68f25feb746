package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/core/suspect"
	"waxwingpick/io/sidecar"
)

const (
	// isolationRetryDelay is the time between two attempts of a suspect while another suspect runs at its owner target.
	isolationRetryDelay = 50 * time.Millisecond
	suspectsTimeout     = 300 * time.Millisecond
	// maxSuspectPeers bounds the entries that receive the suspects of a crash before its requests are retried.
	maxSuspectPeers = 512
)

// isolate restricts a crash suspect to its owner target, or refuses a request that has crashed targets repeatedly.
func (p *Process) isolate(req *routing.Request, f suspect.Fingerprint, targets *serviceTargets) error {
	switch p.suspects.Status(p.timers.Now(), f) {
	case suspect.StatusRefused:
		return suspect.Refuse(0)
	case suspect.StatusSuspect:
		ids := targets.servingTargets(req.Model)
		owner, _ := suspect.OwnerOf(p.suspects.Record(f), ids)
		req.Exclude = allExcept(ids, owner)
	case suspect.StatusClean:
	}
	return nil
}

func allExcept(ids []waxwingpick.TargetID, owner waxwingpick.TargetID) []waxwingpick.TargetID {
	others := make([]waxwingpick.TargetID, 0, len(ids))
	for _, id := range ids {
		if id != owner {
			others = append(others, id)
		}
	}
	return others
}

// isIsolationRefusal reports whether a refusal only means that another suspect is running at the target.
func isIsolationRefusal(r *waxwingpick.Refusal) bool {
	return r.Reason == waxwingpick.ReasonCrashSuspect && r.RetryAfter > 0
}

// suspectRecord returns the suspect record of a request that was in flight during a crash, or nil for any other request.
func (p *Process) suspectRecord(f suspect.Fingerprint) *suspect.Record {
	if p.suspects.Status(p.timers.Now(), f) == suspect.StatusClean {
		return nil
	}
	r := p.suspects.Record(f)
	return &r
}

// clearSuspect clears a suspect whose response was complete.
func (p *Process) clearSuspect(f suspect.Fingerprint) {
	now := p.timers.Now()
	record, suspected := p.suspects.ClearSuspect(now, f)
	if !suspected {
		return
	}
	p.work.Start(func() {
		p.broadcastSuspects([]suspect.Record{record})
	})
}

// fetchCrash probes the sidecar of a lost attempt for a crash of its target. New suspects are sent to the other entries
// before the requests in flight there are retried here or by their callers.
func (p *Process) fetchCrash(s *serviceTargets, instance waxwingpick.Instance) {
	before := p.suspects.Sum(p.timers.Now())
	p.probe(s, instance)
	now := p.timers.Now()
	if p.suspects.Sum(now) != before {
		p.broadcastSuspects(p.suspects.Records(now))
	}
}

// broadcastSuspects sends the records to the other entries concurrently. An unreachable entry receives them through its
// probes.
func (p *Process) broadcastSuspects(records []suspect.Record) {
	ctx, cancel := context.WithTimeout(p.lifecycle, suspectsTimeout)
	defer cancel()
	var wg conc.WaitGroup
	sent := 0
	for _, i := range p.instances() {
		if i.Kind != waxwingpick.KindEntry || i.ID == p.options.Instance || sent >= maxSuspectPeers {
			continue
		}
		sent++
		wg.Go(func() {
			err := p.client.Call(ctx, i.Control, sidecar.MethodSuspects, sidecar.SuspectsMessage{
				Records: records,
			}, nil)
			if err != nil {
				p.log.WithField("peer", i.ID).WithField("error", err.Error()).Debug("failed to send crash suspects")
			}
		})
	}
	wg.Wait()
}

// handleSuspects merges the crash suspects of another entry.
func (p *Process) handleSuspects(_ context.Context, msg sidecar.SuspectsMessage) (sidecar.SuspectsMessage, error) {
	p.suspects.Merge(p.timers.Now(), msg.Records)
	return sidecar.SuspectsMessage{}, nil
}
