package waxwingpick

import "time"

// TargetLoad is a load report that a target's sidecar sends to entries in responses and probes.
type TargetLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// PrefillTokens is the number of prompt tokens that are admitted or queued but not yet computed.
	PrefillTokens int `json:"prefillTokens"`
	// QuickPrefillTokens is the part of PrefillTokens that is computed ahead of long requests.
	QuickPrefillTokens int `json:"quickPrefillTokens"`
	// KVBlocksUsed and KVBlocksTotal count blocks of KV cache.
	KVBlocksUsed  int `json:"piecesUsed"`
	KVBlocksTotal int `json:"piecesTotal"`
	// QuickWaitMillis and LongWaitMillis are the predicted admission waits of a new quick and a new long request.
	QuickWaitMillis int64 `json:"quickWaitMillis"`
	LongWaitMillis  int64 `json:"longWaitMillis"`
	// PrefillTokensPerSecond is the measured prefill rate.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	// TokenIntervalMicros is the measured time between two tokens of a stream.
	TokenIntervalMicros int64 `json:"tokenIntervalMicros"`
	// AgeMillis is the age of the measurements when the report was sent.
	AgeMillis int64 `json:"ageMillis"`
	// Leaving means that the target accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Wait returns the predicted admission wait of a new request of the class.
func (l TargetLoad) Wait(class Class) time.Duration {
	if class == ClassLong {
		return time.Duration(l.LongWaitMillis) * time.Millisecond
	}
	return time.Duration(l.QuickWaitMillis) * time.Millisecond
}

// TokenInterval returns the measured time between two tokens of a stream.
func (l TargetLoad) TokenInterval() time.Duration {
	return time.Duration(l.TokenIntervalMicros) * time.Microsecond
}
