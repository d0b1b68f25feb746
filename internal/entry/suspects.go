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
	// isolationWait is the time between two tries of a suspect while another one runs at its home target.
	isolationWait   = 50 * time.Millisecond
	suspectsTimeout = 300 * time.Millisecond
	// suspectsPeers bounds the entries that are told of a crash before its requests are tried again.
	suspectsPeers = 512
)

// isolate narrows a choice to the home target of a crash suspect, or refuses a request that crashed targets repeatedly.
func (p *Process) isolate(req *routing.Request, f suspect.Fingerprint, targets *serviceTargets) error {
	switch p.suspects.Status(p.timers.Now(), f) {
	case suspect.StatusRefused:
		return suspect.Refuse(0)
	case suspect.StatusSuspect:
		ids := targets.ids(req.Model)
		home, _ := suspect.HomeOf(p.suspects.Record(f), ids)
		req.Exclude = without(ids, home)
	case suspect.StatusClean:
	}
	return nil
}

func without(ids []waxwingpick.TargetID, home waxwingpick.TargetID) []waxwingpick.TargetID {
	others := make([]waxwingpick.TargetID, 0, len(ids))
	for _, id := range ids {
		if id != home {
			others = append(others, id)
		}
	}
	return others
}

// isolated reports whether a refusal only means that another suspect runs at the target.
func isolated(r *waxwingpick.Refusal) bool {
	return r.Reason == waxwingpick.ReasonCrashSuspect && r.RetryAfter > 0
}

// suspicion returns what is known of a request that was in flight at a crash; nil for any other.
func (p *Process) suspicion(f suspect.Fingerprint) *suspect.Record {
	if p.suspects.Status(p.timers.Now(), f) == suspect.StatusClean {
		return nil
	}
	r := p.suspects.Record(f)
	return &r
}

// absolve clears a suspect that got its whole answer.
func (p *Process) absolve(f suspect.Fingerprint) {
	now := p.timers.Now()
	record, suspected := p.suspects.Absolve(now, f)
	if !suspected {
		return
	}
	p.work.Start(func() {
		p.spreadSuspects([]suspect.Record{record})
	})
}

// learnCrash asks the sidecar of a lost attempt whether its target crashed, and tells the other entries before the
// requests in flight there are tried again or sent again by their callers.
func (p *Process) learnCrash(s *serviceTargets, instance waxwingpick.Instance) {
	before := p.suspects.Sum(p.timers.Now())
	p.probe(s, instance)
	now := p.timers.Now()
	if p.suspects.Sum(now) != before {
		p.spreadSuspects(p.suspects.Records(now))
	}
}

// spreadSuspects tells the other entries, side by side; one that can't be reached hears by its probes.
func (p *Process) spreadSuspects(records []suspect.Record) {
	ctx, cancel := context.WithTimeout(p.lifecycle, suspectsTimeout)
	defer cancel()
	var wg conc.WaitGroup
	told := 0
	for _, i := range p.instances() {
		if i.Kind != waxwingpick.KindEntry || i.ID == p.options.Instance || told >= suspectsPeers {
			continue
		}
		told++
		wg.Go(func() {
			err := p.client.Call(ctx, i.Control, sidecar.MethodSuspects, sidecar.SuspectsMessage{
				Records: records,
			}, nil)
			if err != nil {
				p.log.WithField("peer", i.ID).WithField("error", err.Error()).Debug("suspects not spread")
			}
		})
	}
	wg.Wait()
}

// takeSuspects merges what another entry knows.
func (p *Process) takeSuspects(_ context.Context, msg sidecar.SuspectsMessage) (sidecar.SuspectsMessage, error) {
	p.suspects.Merge(p.timers.Now(), msg.Records)
	return sidecar.SuspectsMessage{}, nil
}
