package placement

import (
	"time"

	"waxwingpick"
)

// maxStatedAge is the age of a target's figure up to which it is reported to other processes. Older ones say little.
const maxStatedAge = 500 * time.Millisecond

// StatedSpeed is a figure about its speed that a target stated, for other processes.
type StatedSpeed struct {
	_         struct{} `cbor:",toarray"`
	Target    EngineKey
	Percent   int
	AgeMillis int64
}

// Origin is where a figure came from.
type Origin uint8

// The origins of a figure.
const (
	// OriginOwn is a response to this process.
	OriginOwn Origin = iota
	// OriginZone is another process of the local availability zone.
	OriginZone
	// OriginRemote is another availability zone.
	OriginRemote
)

// ObserveStated records a figure that an engine stated in a response.
func (f *Fleet) ObserveStated(now time.Time, id waxwingpick.TargetID, percent int) {
	if e, ok := f.engines[id]; ok && e.speed.ObserveStated(now, percent) {
		e.statedFrom = OriginOwn
		e.statedLearned = now
	}
}

// StatedSince returns the recent figures that were learned after a time from any other origin than the excluded one. Figures that other
// processes of the zone reported are not sent to them again.
func (f *Fleet) StatedSince(now, since time.Time, excluded Origin) []StatedSpeed {
	var all []StatedSpeed
	for _, id := range f.order {
		e := f.engines[id]
		percent, at, ok := e.speed.Latest()
		if !ok || !e.statedLearned.After(since) || e.statedFrom == excluded || now.Sub(at) > maxStatedAge {
			continue
		}
		all = append(all, StatedSpeed{
			Target:    KeyOf(id),
			Percent:   percent,
			AgeMillis: now.Sub(at).Milliseconds(),
		})
	}
	return all
}

// ApplyStated applies figures that another process sent.
func (f *Fleet) ApplyStated(now time.Time, from Origin, reported []StatedSpeed) {
	for _, r := range reported {
		age := time.Duration(clamp(r.AgeMillis, maxReportedDelay.Milliseconds())) * time.Millisecond
		if e, ok := f.keys[r.Target]; ok && age <= maxStatedAge && r.Percent > 0 && e.speed.ObserveReported(now.Add(-age), r.Percent) {
			e.statedFrom = from
			e.statedLearned = now
		}
	}
}
