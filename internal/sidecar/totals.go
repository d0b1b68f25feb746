package sidecar

import (
	"sync/atomic"

	"waxwingpick/io/sidecar"
)

// totals counts the model work of this process, for the role policy.
type totals struct {
	process       string
	requests      atomic.Int64
	prefillTokens atomic.Int64
	decodeTokens  atomic.Int64
}

func (t *totals) admitted(promptTokens int) {
	t.requests.Add(1)
	t.prefillTokens.Add(int64(promptTokens))
}

// computed counts prompt tokens that were to come from another engine and were computed here after all.
func (t *totals) computed(promptTokens int) {
	t.prefillTokens.Add(int64(promptTokens))
}

func (t *totals) generated(tokens int) {
	t.decodeTokens.Add(int64(tokens))
}

func (t *totals) report() sidecar.Totals {
	return sidecar.Totals{
		Process:       t.process,
		Requests:      t.requests.Load(),
		PrefillTokens: t.prefillTokens.Load(),
		DecodeTokens:  t.decodeTokens.Load(),
	}
}
