package prometheus

import (
	"strings"
	"sync"

	"waxwingpick"
)

// maxNames is the maximum number of services, and of records, with separate label values.
const maxNames = 64

// OtherLabel is the label value of names beyond the maximum and of unknown values.
const OtherLabel = "other"

// Result is the result of a request.
type Result string

// The results of requests.
const (
	ResultResponded  Result = "answered"
	ResultLate       Result = "late"
	ResultNotRun     Result = "notRun"
	ResultUnknown    Result = "unknown"
	ResultTruncated  Result = "cut"
	ResultCallerLeft Result = "callerLeft"
)

// StreamEnd is how the stream of a target ended.
type StreamEnd string

// The ends of streams. StreamEndRegular is the only one that counts as complete.
const (
	StreamEndRegular     StreamEnd = "regular"
	StreamEndEmpty       StreamEnd = "empty"
	StreamEndInsideEvent StreamEnd = "insideEvent"
	StreamEndInterrupted StreamEnd = "interrupted"
	StreamEndUnproven    StreamEnd = "unproven"
)

// QuotaResult is the result of a request for a part of the rate of a workspace.
type QuotaResult string

// The results of quota requests.
const (
	QuotaGranted      QuotaResult = "granted"
	QuotaInsufficient QuotaResult = "short"
	QuotaFailed       QuotaResult = "failed"
)

var askResults = waxwingpick.NewSet(QuotaGranted, QuotaInsufficient, QuotaFailed)

var results = waxwingpick.NewSet(
	ResultResponded,
	ResultLate,
	ResultNotRun,
	ResultUnknown,
	ResultTruncated,
	ResultCallerLeft,
)

var reasons = waxwingpick.NewSet(
	waxwingpick.ReasonOverload,
	waxwingpick.ReasonLeaving,
	waxwingpick.ReasonDeadline,
	waxwingpick.ReasonRateLimit,
	waxwingpick.ReasonCrashSuspect,
	waxwingpick.ReasonKeyValue,
	waxwingpick.ReasonStaleIncarnation,
	waxwingpick.ReasonFenced,
	waxwingpick.ReasonWrongModel,
	waxwingpick.ReasonNoTarget,
	waxwingpick.ReasonTargetUnreachable,
	waxwingpick.ReasonTargetLost,
	waxwingpick.ReasonUnstatedRefusal,
	waxwingpick.ReasonKeyReuse,
	waxwingpick.ReasonKeyExpired,
	waxwingpick.ReasonStopping,
	waxwingpick.ReasonNotReady,
	waxwingpick.ReasonHeaders,
)

// labelOf returns the label of a value, OtherLabel if it is not in the set.
func labelOf[T ~string](set waxwingpick.Set[T], value T) string {
	if set.Has(value) {
		return string(value)
	}
	return OtherLabel
}

// names maps the first maxNames distinct names to themselves and all others to OtherLabel.
type names struct {
	mu     sync.RWMutex
	labels map[string]string
}

func (n *names) label(name string) string {
	n.mu.RLock()
	label, ok := n.labels[name]
	n.mu.RUnlock()
	if ok {
		return label
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if label, ok := n.labels[name]; ok {
		return label
	}
	if len(n.labels) >= maxNames {
		return OtherLabel
	}
	if n.labels == nil {
		n.labels = make(map[string]string, maxNames)
	}
	// The name may share memory with a request buffer that is reused.
	label = strings.Clone(name)
	n.labels[label] = label
	return label
}
