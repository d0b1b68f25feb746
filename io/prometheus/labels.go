package prometheus

import (
	"strings"
	"sync"

	"waxwingpick"
)

// maxNames bounds the services and records that get a label value of their own.
const maxNames = 64

// OtherLabel is the label value of the names beyond the bound and of unknown values.
const OtherLabel = "other"

// Result is how a request ended.
type Result string

// The results of requests.
const (
	ResultAnswered Result = "answered"
	ResultLate     Result = "late"
	ResultNotRun   Result = "notRun"
	ResultUnknown  Result = "unknown"
	ResultCut      Result = "cut"
	ResultLeft     Result = "callerLeft"
)

// AskResult is how an ask for a part of a workspace's rate ended.
type AskResult string

// The results of asks.
const (
	AskGranted AskResult = "granted"
	AskShort   AskResult = "short"
	AskFailed  AskResult = "failed"
)

var askResults = waxwingpick.NewSet(AskGranted, AskShort, AskFailed)

var results = waxwingpick.NewSet(
	ResultAnswered,
	ResultLate,
	ResultNotRun,
	ResultUnknown,
	ResultCut,
	ResultLeft,
)

var reasons = waxwingpick.NewSet(
	waxwingpick.ReasonOverload,
	waxwingpick.ReasonLeaving,
	waxwingpick.ReasonDeadline,
	waxwingpick.ReasonRateLimit,
	waxwingpick.ReasonCrashSuspect,
	waxwingpick.ReasonKeyValue,
	waxwingpick.ReasonStaleIncarnation,
	waxwingpick.ReasonBarred,
	waxwingpick.ReasonWrongModel,
	waxwingpick.ReasonNoTarget,
	waxwingpick.ReasonTargetUnreachable,
	waxwingpick.ReasonTargetLost,
	waxwingpick.ReasonKeyReuse,
	waxwingpick.ReasonKeyExpired,
	waxwingpick.ReasonStopping,
	waxwingpick.ReasonNotReady,
	waxwingpick.ReasonHeaders,
)

// known returns the value's label, or OtherLabel for one that is not in the set.
func known[T ~string](set waxwingpick.Set[T], value T) string {
	if set.Has(value) {
		return string(value)
	}
	return OtherLabel
}

// names admits the first names that it sees and gives all others OtherLabel.
type names struct {
	mu   sync.RWMutex
	seen map[string]string
}

func (n *names) label(name string) string {
	n.mu.RLock()
	label, ok := n.seen[name]
	n.mu.RUnlock()
	if ok {
		return label
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if label, ok := n.seen[name]; ok {
		return label
	}
	if len(n.seen) >= maxNames {
		return OtherLabel
	}
	if n.seen == nil {
		n.seen = make(map[string]string, maxNames)
	}
	// A name can stand in the buffer of a request, which is used again.
	label = strings.Clone(name)
	n.seen[label] = label
	return label
}
