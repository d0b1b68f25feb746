package suspect

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// Isolation admits at most one suspect at a time to a target and tracks the requests in flight there.
type Isolation struct {
	mu       sync.Mutex
	inFlight map[string]request
	suspects int
}

type request struct {
	fingerprint Fingerprint
	suspect     bool
}

// NewIsolation returns the isolation of one target.
func NewIsolation() *Isolation {
	return &Isolation{
		inFlight: make(map[string]request),
	}
}

// Admit admits a request by its attempt ID. False means that the request is refused, that its attempt is already in
// flight, or that it is a suspect and another one is running.
func (i *Isolation) Admit(attempt string, f Fingerprint, status Status) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, running := i.inFlight[attempt]
	if running || status == StatusRefused {
		return false
	}
	suspect := status == StatusSuspect
	if suspect && i.suspects > 0 {
		return false
	}
	if suspect {
		i.suspects++
	}
	i.inFlight[attempt] = request{
		fingerprint: f,
		suspect:     suspect,
	}
	return true
}

// ReportProgress reports that a suspect has made progress, such as its first token, so that the next suspect may be
// admitted. If the target crashes nevertheless, both are refused. The limit on crashed targets does not depend on it.
func (i *Isolation) ReportProgress(attempt string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f, ok := i.inFlight[attempt]
	if !ok || !f.suspect {
		return
	}
	i.suspects--
	f.suspect = false
	i.inFlight[attempt] = f
}

// Release removes a request by its attempt ID.
func (i *Isolation) Release(attempt string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.inFlight[attempt].suspect {
		i.suspects--
	}
	delete(i.inFlight, attempt)
}

// Crash removes all requests and returns the distinct fingerprints that were in flight, in ascending order.
func (i *Isolation) Crash() []Fingerprint {
	i.mu.Lock()
	defer i.mu.Unlock()
	fingerprints := make([]Fingerprint, 0, len(i.inFlight))
	for _, f := range i.inFlight {
		fingerprints = append(fingerprints, f.fingerprint)
	}
	clear(i.inFlight)
	i.suspects = 0
	slices.Sort(fingerprints)
	return slices.Compact(fingerprints)
}

// Owner returns the target to which every entry sends a suspect, by rendezvous hashing, so that
// concurrent copies of one suspect go to one target. False means that there is no target.
func Owner(f Fingerprint, targets []waxwingpick.TargetID) (waxwingpick.TargetID, bool) {
	var owner waxwingpick.TargetID
	var best uint64
	for _, target := range targets {
		score := rendezvous(f, target)
		if owner == "" || score > best || score == best && target < owner {
			owner = target
			best = score
		}
	}
	return owner, owner != ""
}

// OwnerOf returns the owner of a record's fingerprint among the targets that it has not crashed, or among all targets
// if it has crashed each. Processes with equal records select the same owner.
func OwnerOf(r Record, targets []waxwingpick.TargetID) (waxwingpick.TargetID, bool) {
	others := make([]waxwingpick.TargetID, 0, len(targets))
	for _, target := range targets {
		crashed := slices.ContainsFunc(r.Crashes, func(c Crash) bool {
			return c.Target == target
		})
		if !crashed {
			others = append(others, target)
		}
	}
	if len(others) == 0 {
		others = targets
	}
	return Owner(r.Fingerprint, others)
}

func rendezvous(f Fingerprint, target waxwingpick.TargetID) uint64 {
	buffer := binary.BigEndian.AppendUint64(nil, uint64(f))
	return xxhash.Sum64(append(buffer, target...))
}
