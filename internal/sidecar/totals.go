package sidecar

import (
	"sync/atomic"

	"waxwingpick/io/sidecar"
)

// totals counts the model work of this process, for the role policy.
type totals struct {
	processID     string
	requests      atomic.Int64
	prefillTokens atomic.Int64
	decodeTokens  atomic.Int64
}

func (t *totals) addRequest(promptTokens int) {
	t.requests.Add(1)
	t.prefillTokens.Add(int64(promptTokens))
}

// addPrefill counts prompt tokens that were expected from another engine but were computed here.
func (t *totals) addPrefill(promptTokens int) {
	t.prefillTokens.Add(int64(promptTokens))
}

func (t *totals) addDecode(tokens int) {
	t.decodeTokens.Add(int64(tokens))
}

func (t *totals) report() sidecar.Totals {
	return sidecar.Totals{
		Process:       t.processID,
		Requests:      t.requests.Load(),
		PrefillTokens: t.prefillTokens.Load(),
		DecodeTokens:  t.decodeTokens.Load(),
	}
}
