package sidecar

import (
	"encoding/json"
	"time"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/core/suspect"
)

// Limits of the wire format.
const (
	// MaxFrameSize is the maximum size of an encoded frame, in bytes.
	MaxFrameSize = 4 << 20
	// MaxAttemptSize is the maximum size of the encoded attempt of a call, in bytes. It includes the caller's headers.
	MaxAttemptSize = 32 << 10
	// MaxModelAttemptSize is the maximum size of the encoded attempt of a model request, in bytes.
	MaxModelAttemptSize = 4 << 10
	// HeartbeatPeriod is the maximum time between two frames of a running stream.
	HeartbeatPeriod = time.Second
	// FrameTimeout is the time without a frame after which a stream is considered broken.
	FrameTimeout = 4 * HeartbeatPeriod
)

const (
	attemptHeader = "Waxwing-Attempt"
	resultHeader  = "Waxwing-Result"
	// rejectedHeader states that the sidecar has not run the attempt.
	rejectedHeader = "Waxwing-Rejected"
	generatePath   = "/attempts"
	resumePath     = "/attempts/resume"
	cancelPath     = "/attempts/cancel"
	callPath       = "/calls"
	prefillPath    = "/prefill"
	exportPath     = "/export"
	metricsPath    = "/metrics"
)

// Attempt is one attempt to run a request at a target.
type Attempt struct {
	// ID is unique among all attempts. It is also the ID of the engine's stream.
	ID string `json:"id"`
	// Request identifies the caller's request in the logs of all processes.
	Request waxwingpick.RequestID `json:"request,omitempty"`
	// Fleet is the name of the target's fleet. The client sets it.
	Fleet     string                  `json:"fleet,omitempty"`
	Service   waxwingpick.ServiceName `json:"service"`
	Target    waxwingpick.TargetID    `json:"target"`
	Workspace waxwingpick.WorkspaceID `json:"workspace"`
	Class     waxwingpick.Class       `json:"class"`
	Method    string                  `json:"method,omitempty"`
	Path      string                  `json:"path"`
	Headers   []waxwingpick.Header    `json:"headers,omitempty"`
	Model     string                  `json:"model,omitempty"`
	// PromptTokens and OutputTokens are the entry's estimates.
	PromptTokens int `json:"promptTokens,omitempty"`
	OutputTokens int `json:"outputTokens,omitempty"`
	// RemainingMillis is the time until the deadline.
	RemainingMillis int64 `json:"remainingMillis"`
	Urgency         int   `json:"urgency"`
	// ConfigRevision is the configuration revision that the entry uses.
	ConfigRevision int64 `json:"configRevision"`
	// Fingerprint identifies the content of the request in the records of crash suspects.
	Fingerprint suspect.Fingerprint `json:"fingerprint,omitempty"`
	// Suspicion is the entry's record of the fingerprint, or nil. It exists if a request with the fingerprint was in
	// flight when an engine crashed.
	Suspicion *suspect.Record `json:"suspicion,omitempty"`
	// Incarnation is the sidecar incarnation that may run an order. It is empty for repeatable requests.
	Incarnation string `json:"incarnation,omitempty"`
	// Repeatable reports whether the request may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Continuation reports whether the attempt continues a response that the caller has received in part.
	Continuation bool `json:"begun,omitempty"`
	// Prefill is the target that runs the prefill stage. It is nil if one engine runs both stages.
	Prefill *PrefillStage `json:"prefill,omitempty"`
	// Source is the leaving target that still holds the KV cache of the response, or nil if there is none.
	Source *MoveSource `json:"source,omitempty"`
	// ByReference reports whether the importing engine can fetch the KV cache directly from the exporting engine.
	ByReference bool `json:"byReference,omitempty"`
	// Offset is the offset of the first event to send when a stream is resumed.
	Offset      int64  `json:"offset,omitempty"`
	Traceparent string `json:"traceparent,omitempty"`
}

// PrefillStage is the target that runs the prefill stage of a request that is served by two engines.
type PrefillStage struct {
	Target waxwingpick.TargetID `json:"target"`
	// Data is the IP address and port at which its sidecar receives attempts.
	Data string `json:"data"`
}

// MoveSource is the leaving target whose stream the attempt continues.
type MoveSource struct {
	Target waxwingpick.TargetID `json:"target"`
	// Data is the IP address and port at which its sidecar receives attempts.
	Data string `json:"data"`
	// Attempt is the ID of the attempt that ran there.
	Attempt string `json:"attempt"`
	// Tokens is the estimated number of prompt and generated tokens.
	Tokens int `json:"tokens"`
}

// Report is the state of a target as reported by its sidecar, in frames, results and responses to probes.
type Report struct {
	Target waxwingpick.TargetID `json:"target"`
	// Incarnation is the sidecar incarnation for which new orders must be claimed.
	Incarnation string                   `json:"incarnation"`
	Load        waxwingpick.TargetLoad   `json:"load"`
	Active      waxwingpick.EngineConfig `json:"active,omitzero"`
	// ConfigRevision is the configuration revision that the sidecar uses.
	ConfigRevision int64  `json:"configRevision"`
	Totals         Totals `json:"totals"`
}

// Totals counts the model requests that a sidecar process has admitted and the tokens that its engine has computed for
// them.
type Totals struct {
	// Process identifies the sidecar process. The counts of each process start at zero.
	Process       string `json:"process"`
	Requests      int64  `json:"requests"`
	PrefillTokens int64  `json:"prefillTokens"`
	DecodeTokens  int64  `json:"decodeTokens"`
}

// Frame is one element of a streamed response.
type Frame struct {
	Attempt string               `json:"attempt"`
	Offset  int64                `json:"offset"`
	Data    json.RawMessage      `json:"data,omitempty"`
	Last    bool                 `json:"last,omitempty"`
	Refusal *waxwingpick.Refusal `json:"refusal,omitempty"`
	// Broken reports whether the connection to the engine was lost after the attempt had started.
	Broken bool `json:"broken,omitempty"`
	// Moved reports whether the target is leaving, so that another target must continue the response.
	Moved bool `json:"moved,omitempty"`
	// Held reports whether the leaving target keeps the KV cache of a moved stream for a limited time.
	Held   bool    `json:"held,omitempty"`
	Report *Report `json:"report,omitempty"`
}

// Heartbeat reports whether the frame is a heartbeat, which has no data and does not end the stream. It may carry a
// report.
func (f Frame) Heartbeat() bool {
	return f.Data == nil && !f.Last && f.Refusal == nil && !f.Broken && !f.Moved
}

// Result is the outcome of a call to a plain service.
type Result struct {
	Attempt string               `json:"attempt"`
	Status  int                  `json:"status"`
	Headers []waxwingpick.Header `json:"headers,omitempty"`
	Refusal *waxwingpick.Refusal `json:"refusal,omitempty"`
	Report  *Report              `json:"report,omitempty"`
	Body    []byte               `json:"-"`
}

// Methods of control calls to a sidecar.
const (
	MethodProbe    = "probe"
	MethodFence    = "bar"
	MethodSuspects = "suspects"
)

// MethodClaims forwards writes of claims to the entry that batches them.
const MethodClaims = "claims"

// MethodQuota requests a part of a workspace's rate from the entry that owns the rate. The request is a
// quota.TokenRequest, and the response is a quota.Grant.
const MethodQuota = "quota"

// ClaimsRequest holds the writes that one entry forwards to another.
type ClaimsRequest struct {
	Writes []ledger.ClaimWrite `json:"writes"`
}

// ClaimsResponse holds the results of the writes in the same order.
type ClaimsResponse struct {
	Results []ledger.WriteResult `json:"results"`
}

// SuspectsMessage sends records of crash suspects to another process.
type SuspectsMessage struct {
	Records []suspect.Record `json:"records"`
}

// FenceRequest requests that the sidecar fence an attempt, which keeps it from running.
type FenceRequest struct {
	Attempt     string `json:"attempt"`
	Incarnation string `json:"incarnation"`
}

// FenceResponse holds the state of the attempt, and its response if it has one.
type FenceResponse struct {
	State    ledger.AttemptState `json:"standing"`
	Response *ledger.Response    `json:"answer,omitempty"`
}
