package ledger

import (
	"time"

	"waxwingpick"
)

const (
	defaultRetention = 24 * time.Hour
	defaultSkew      = 5 * time.Minute
)

// Policy sets how long the claims of keys with an issue time are valid.
type Policy struct {
	retention time.Duration
	skew      time.Duration
}

// DefaultPolicy retains claims for a day and tolerates a clock difference of five minutes.
func DefaultPolicy() Policy {
	return Policy{
		retention: defaultRetention,
		skew:      defaultSkew,
	}
}

// PolicyFor returns the policy for a configured retention, or the default one if it is zero.
func PolicyFor(retention time.Duration) Policy {
	policy := DefaultPolicy()
	if retention > 0 {
		policy.retention = retention
	}
	return policy
}

// check refuses a key whose claim may have expired.
func (p Policy) check(key Key, now time.Time) *waxwingpick.Refusal {
	issued, ok := key.Issued()
	switch {
	case !ok:
		return nil
	case now.Sub(issued) > p.retention:
		return waxwingpick.Unknown(waxwingpick.ReasonKeyExpired, "the key is older than "+p.retention.String())
	case issued.Sub(now) > p.skew:
		return waxwingpick.NotRun(waxwingpick.ReasonKeyExpired, 0, "the key's issue time lies in the future")
	}
	return nil
}
