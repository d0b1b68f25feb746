package suspect

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

// Isolation lets at most one suspect run at a target and knows what is in flight there.
type Isolation struct {
	mu       sync.Mutex
	inFlight map[string]flight
	suspects int
}

type flight struct {
	fingerprint Fingerprint
	suspect     bool
}

// NewIsolation returns the isolation of one target.
func NewIsolation() *Isolation {
	return &Isolation{
		inFlight: make(map[string]flight),
	}
}

// Enter takes a request in by its attempt ID; false means that it is a suspect and another one runs here.
func (i *Isolation) Enter(attempt string, f Fingerprint, status Status) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, known := i.inFlight[attempt]
	if known || status == StatusRefused {
		return false
	}
	suspect := status == StatusSuspect
	if suspect && i.suspects > 0 {
		return false
	}
	if suspect {
		i.suspects++
	}
	i.inFlight[attempt] = flight{
		fingerprint: f,
		suspect:     suspect,
	}
	return true
}

// Proved says that a suspect has shown life, such as its first token, so that the next one may enter. Were
// the target to crash after all, both would be refused: the bound on lost targets does not rest on it.
func (i *Isolation) Proved(attempt string) {
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

// Leave lets a request out by its attempt ID.
func (i *Isolation) Leave(attempt string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.inFlight[attempt].suspect {
		i.suspects--
	}
	delete(i.inFlight, attempt)
}

// Crash empties the target and returns the distinct fingerprints that were in flight, in ascending order.
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

// Home returns the target that every entry sends a suspect to, by rendezvous hashing, so that
// concurrent sendings of one suspect meet at one target; false means that there is no target.
func Home(f Fingerprint, targets []waxwingpick.TargetID) (waxwingpick.TargetID, bool) {
	var home waxwingpick.TargetID
	var best uint64
	for _, target := range targets {
		score := rendezvous(f, target)
		if home == "" || score > best || score == best && target < home {
			home = target
			best = score
		}
	}
	return home, home != ""
}

// HomeOf returns the home of a record's fingerprint among the targets that it has not crashed, or among all where it
// crashed each; processes that hold the same record agree on it.
func HomeOf(r Record, targets []waxwingpick.TargetID) (waxwingpick.TargetID, bool) {
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
	return Home(r.Fingerprint, others)
}

func rendezvous(f Fingerprint, target waxwingpick.TargetID) uint64 {
	buffer := binary.BigEndian.AppendUint64(nil, uint64(f))
	return xxhash.Sum64(append(buffer, target...))
}
