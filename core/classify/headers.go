package classify

import (
	"strconv"
	"strings"
	"time"
)

// DefaultUrgency is the default urgency of RFC 9218.
const DefaultUrgency = 3

const maxUrgency = 7

// ParseWait returns the wait preference of an RFC 7240 Prefer header, which is in whole seconds, and whether the header
// has a valid one.
func ParseWait(prefer string) (time.Duration, bool) {
	value, ok := parameter(prefer, "wait")
	if !ok {
		return 0, false
	}
	seconds, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, false
	}
	return time.Duration(seconds) * time.Second, true
}

// ParseUrgency returns the urgency of an RFC 9218 Priority header, and whether the header has a valid one.
func ParseUrgency(priority string) (int, bool) {
	value, ok := parameter(priority, "u")
	if !ok {
		return DefaultUrgency, false
	}
	urgency, err := strconv.ParseUint(value, 10, 8)
	if err != nil || urgency > maxUrgency {
		return DefaultUrgency, false
	}
	return int(urgency), true
}

func parameter(header, name string) (string, bool) {
	for member := range strings.SplitSeq(header, ",") {
		member, _, _ = strings.Cut(member, ";")
		key, value, found := strings.Cut(member, "=")
		if found && strings.EqualFold(strings.TrimSpace(key), name) {
			return strings.Trim(strings.TrimSpace(value), `"`), true
		}
	}
	return "", false
}

// Remaining returns the time until the deadline, for use by the next hop. It is never negative.
func Remaining(now, deadline time.Time) time.Duration {
	return max(0, deadline.Sub(now))
}
