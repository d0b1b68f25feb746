package waxwingpick

import "time"

// TargetLoad is what the sidecar of a target reports to entries, in answers and when probed.
type TargetLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// PrefillTokens counts prompt tokens that are admitted or queued and not yet computed.
	PrefillTokens int `json:"prefillTokens"`
	// QuickPrefillTokens is the part of PrefillTokens that goes before long requests.
	QuickPrefillTokens int `json:"quickPrefillTokens"`
	PiecesUsed         int `json:"piecesUsed"`
	PiecesTotal        int `json:"piecesTotal"`
	// QuickWaitMillis and LongWaitMillis predict how long a new request of the class waits for admission.
	QuickWaitMillis int64 `json:"quickWaitMillis"`
	LongWaitMillis  int64 `json:"longWaitMillis"`
	// PrefillTokensPerSecond is the measured prefill rate.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	// TokenIntervalMicros is the measured time between two tokens of one stream.
	TokenIntervalMicros int64 `json:"tokenIntervalMicros"`
	// AgeMillis is the age of the figures when the report was sent.
	AgeMillis int64 `json:"ageMillis"`
	// Leaving says that the target takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Wait returns the predicted wait for admission of a new request of the class.
func (l TargetLoad) Wait(class Class) time.Duration {
	if class == ClassLong {
		return time.Duration(l.LongWaitMillis) * time.Millisecond
	}
	return time.Duration(l.QuickWaitMillis) * time.Millisecond
}

// TokenInterval returns the measured time between two tokens of one stream.
func (l TargetLoad) TokenInterval() time.Duration {
	return time.Duration(l.TokenIntervalMicros) * time.Microsecond
}
