package quota

import (
	"math"
	"time"

	"waxwingpick"
	"waxwingpick/core/plan"
)

const (
	// Lifetime is how long an entry may use tokens above its base after it asked for them.
	Lifetime = 5 * time.Second
	// SilentFraction is the part of its even share that an entry admits without telling the owner, so that workspaces far
	// below their rate cost no messages.
	SilentFraction = 0.25
	// leastBase is the number of requests that an entry admits at once without asking, where the burst allows them.
	leastBase = 4
	// ownerPart is the part of the burst that the owner keeps; the entries hold the rest as their base.
	ownerPart = 0.5
)

// Limit is the rate of one workspace over the whole fleet; the zero limit bounds nothing.
type Limit struct {
	perSecond float64
	burst     float64
}

// NewLimit returns a limit in requests a second and requests; a burst under one request counts as one, and a rate that is
// not positive bounds nothing.
func NewLimit(perSecond, burst float64) Limit {
	if perSecond <= 0 {
		return Limit{}
	}
	return Limit{
		perSecond: perSecond,
		burst:     max(1, burst),
	}
}

// PerSecond returns the rate in requests a second, zero where nothing is bounded.
func (l Limit) PerSecond() float64 {
	return l.perSecond
}

// Unbounded reports whether the limit bounds nothing.
func (l Limit) Unbounded() bool {
	return l.perSecond == 0
}

// Base returns how many requests one of n entries admits at once without asking.
func (l Limit) Base(n int) float64 {
	even := l.burst * (1 - ownerPart) / float64(n)
	return min(l.burst, max(leastBase, even))
}

// Reserve returns how many requests the owner's bucket holds.
func (l Limit) Reserve() float64 {
	return max(1, l.burst*ownerPart)
}

// Ask is an entry's request for tokens of one workspace.
type Ask struct {
	Workspace waxwingpick.WorkspaceID `json:"workspace"`
	// Offered is the number of requests since the entry's last answered ask, refused ones included.
	Offered float64 `json:"offered"`
	// Refilled is the number of tokens that the entry gave itself meanwhile.
	Refilled float64 `json:"refilled"`
	// Room is the number of tokens that the entry can take.
	Room float64 `json:"room"`
	// PassedMillis is the time since the owner last answered the entry, ten seconds at most.
	PassedMillis int64 `json:"passedMillis"`

	owner  waxwingpick.InstanceID
	sentAt time.Time
}

// Owner returns the entry that the ask is for.
func (a Ask) Owner() waxwingpick.InstanceID {
	return a.owner
}

// Grant is the owner's answer to an ask.
type Grant struct {
	Tokens float64 `json:"tokens"`
	// WaitMillis is the time before the entry asks again; zero where it got all it had room for.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// ownerOf returns the entry that owns a workspace's rate, none where no entry is known.
func ownerOf(workspace waxwingpick.WorkspaceID, entries []waxwingpick.InstanceID) waxwingpick.InstanceID {
	if len(entries) == 0 {
		return ""
	}
	return plan.Rank("quota/"+string(workspace), entries)[0]
}

// wireDigits keeps amounts of tokens short in messages.
const wireDigits = 1000

func rounded(tokens float64) float64 {
	return math.Floor(tokens*wireDigits) / wireDigits
}
