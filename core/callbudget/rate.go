package callbudget

import "waxwingpick"

// Rate is the budget of one kind of call.
type Rate struct {
	// PerSecond is the number of calls per second.
	PerSecond float64
	// Burst is the maximum number of calls at once after a pause.
	Burst int
}

// DefaultRate returns the budget of a process for a kind of call.
func DefaultRate(kind waxwingpick.KeyValueCall) Rate {
	switch kind {
	case waxwingpick.CallGet:
		return newRate(5, 10)
	case waxwingpick.CallList:
		return newRate(1, 2)
	case waxwingpick.CallSwap, waxwingpick.CallDelete:
		return newRate(1, 5)
	case waxwingpick.CallKeepAlive:
		return newRate(1, 3)
	case waxwingpick.CallGrant, waxwingpick.CallRevoke, waxwingpick.CallWatch:
		return newRate(0.5, 3)
	}
	return Rate{}
}

func newRate(perSecond float64, burst int) Rate {
	return Rate{
		PerSecond: perSecond,
		Burst:     burst,
	}
}

// ServiceRate returns the rate of a kind of call for all entries together. With the sidecars' calls, the sum stays below
// the several hundred writes and 2,000 reads per second that the service can handle.
func ServiceRate(kind waxwingpick.KeyValueCall) Rate {
	switch kind {
	case waxwingpick.CallGet:
		return newRate(1000, 1000)
	case waxwingpick.CallList, waxwingpick.CallWatch:
		return newRate(100, 100)
	case waxwingpick.CallSwap:
		return newRate(200, 200)
	case waxwingpick.CallDelete:
		return newRate(50, 50)
	case waxwingpick.CallKeepAlive:
		return newRate(64, 64)
	case waxwingpick.CallGrant, waxwingpick.CallRevoke:
		return newRate(20, 20)
	}
	return Rate{}
}

const (
	// minPerSecond and minBurst are the minimum rate, with which a process of a large fleet can still work.
	minPerSecond = 0.1
	minBurst     = 1
)

// Share returns the share of a rate for one of n processes.
func Share(total Rate, n int) Rate {
	n = max(n, 1)
	return Rate{
		PerSecond: max(total.PerSecond/float64(n), minPerSecond),
		Burst:     max(total.Burst/n, minBurst),
	}
}
