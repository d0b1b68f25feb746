package quota

import (
	"math"
	"time"

	"waxwingpick"
	"waxwingpick/core/plan"
)

const (
	// Lifetime is how long an entry may use tokens above its base after requesting them.
	Lifetime = 5 * time.Second
	// UnreportedFraction is the fraction of its even share that an entry admits without reporting to the owner, so that
	// workspaces far below their rate cause no messages.
	UnreportedFraction = 0.25
	// minBase is the minimum number of requests that an entry admits at once without the owner, if the burst allows it.
	minBase = 4
	// ownerFraction is the fraction of the burst that the owner holds. The entries share the rest as their base.
	ownerFraction = 0.5
)

// Limit is the rate limit of one workspace over the whole fleet. The zero value is unlimited.
type Limit struct {
	perSecond float64
	burst     float64
}

// NewLimit returns a limit with a rate in requests per second and a burst in requests. A burst below one counts as
// one. A rate that is not positive means unlimited.
func NewLimit(perSecond, burst float64) Limit {
	if perSecond <= 0 {
		return Limit{}
	}
	return Limit{
		perSecond: perSecond,
		burst:     max(1, burst),
	}
}

// PerSecond returns the rate in requests per second, zero if unlimited.
func (l Limit) PerSecond() float64 {
	return l.perSecond
}

// Unbounded reports whether there is no limit.
func (l Limit) Unbounded() bool {
	return l.perSecond == 0
}

// Base returns the number of requests that each of n entries admits at once without the owner.
func (l Limit) Base(n int) float64 {
	even := l.burst * (1 - ownerFraction) / float64(n)
	return min(l.burst, max(minBase, even))
}

// Reserve returns the capacity of the owner's bucket in requests.
func (l Limit) Reserve() float64 {
	return max(1, l.burst*ownerFraction)
}

// TokenRequest is an entry's request for tokens of one workspace.
type TokenRequest struct {
	Workspace waxwingpick.WorkspaceID `json:"workspace"`
	// Offered is the number of requests since the owner's last response, refused ones included.
	Offered float64 `json:"offered"`
	// Refilled is the number of tokens that the entry added locally in that time.
	Refilled float64 `json:"refilled"`
	// MaxTokens is the number of tokens that the entry can accept.
	MaxTokens float64 `json:"room"`
	// ElapsedMillis is the time since the owner's last response to the entry, at most ten seconds.
	ElapsedMillis int64 `json:"passedMillis"`

	owner  waxwingpick.InstanceID
	sentAt time.Time
}

// Owner returns the entry to which the token request is addressed.
func (a TokenRequest) Owner() waxwingpick.InstanceID {
	return a.owner
}

// Grant is the owner's response to a token request.
type Grant struct {
	Tokens float64 `json:"tokens"`
	// WaitMillis is the time after which the entry may send a request again, zero if the request was granted in full.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// ownerOf returns the entry that owns a workspace's rate, empty if there are no entries.
func ownerOf(workspace waxwingpick.WorkspaceID, entries []waxwingpick.InstanceID) waxwingpick.InstanceID {
	if len(entries) == 0 {
		return ""
	}
	return plan.Rank("quota/"+string(workspace), entries)[0]
}

// roundingScale limits token amounts in messages to three decimals, which keeps the messages short.
const roundingScale = 1000

func roundDown(tokens float64) float64 {
	return math.Floor(tokens*roundingScale) / roundingScale
}
