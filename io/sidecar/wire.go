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
	// MaxFrameSize bounds one frame, in bytes.
	MaxFrameSize = 4 << 20
	// MaxAttemptSize bounds the encoded attempt, in bytes; that of a call holds the caller's headers.
	MaxAttemptSize = 32 << 10
	// MaxModelAttemptSize bounds the encoded attempt of a model request, in bytes.
	MaxModelAttemptSize = 4 << 10
	// HeartbeatPeriod is the longest time between two frames of a live stream.
	HeartbeatPeriod = time.Second
	// ReadIdle is how long a stream may stay silent before it counts as broken.
	ReadIdle = 4 * HeartbeatPeriod
)

const (
	attemptHeader = "Waxwing-Attempt"
	resultHeader  = "Waxwing-Result"
	generatePath  = "/attempts"
	resumePath    = "/attempts/resume"
	cancelPath    = "/attempts/cancel"
	callPath      = "/calls"
	prefillPath   = "/prefill"
	exportPath    = "/export"
	metricsPath   = "/metrics"
)

// Attempt is one try to run a request at one target.
type Attempt struct {
	// ID is unique for each attempt and names the engine's stream.
	ID string `json:"id"`
	// Request names the caller's request in the logs of all processes.
	Request waxwingpick.RequestID `json:"request,omitempty"`
	// Fleet is the name of the fleet that the attempt is for; the client sets it.
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
	// RemainingMillis is the time that is left until the deadline.
	RemainingMillis int64 `json:"remainingMillis"`
	Urgency         int   `json:"urgency"`
	// ConfigRevision is the configuration revision that the entry acts under.
	ConfigRevision int64 `json:"configRevision"`
	// Fingerprint identifies the request's content for crash suspicion.
	Fingerprint suspect.Fingerprint `json:"fingerprint,omitempty"`
	// Suspicion is what the entry knows of the fingerprint, where it was in flight at a crash.
	Suspicion *suspect.Record `json:"suspicion,omitempty"`
	// Incarnation is the sidecar incarnation that may run an order; empty for repeatable requests.
	Incarnation string `json:"incarnation,omitempty"`
	// Repeatable says that the request may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Begun says that the caller has a part of the answer, which the attempt continues.
	Begun bool `json:"begun,omitempty"`
	// Prefill names the target that computes the prompt's KV cache first; nil where one engine serves both legs.
	Prefill *PrefillLeg `json:"prefill,omitempty"`
	// Source names the leaving target that still holds the answer's KV cache; nil where none does.
	Source *MoveSource `json:"source,omitempty"`
	// ByReference says that the engine that imports the KV cache can fetch it from the exporting one.
	ByReference bool `json:"byReference,omitempty"`
	// Offset is the first event wanted when a stream is resumed.
	Offset      int64  `json:"offset,omitempty"`
	Traceparent string `json:"traceparent,omitempty"`
}

// PrefillLeg is the target of the first leg of a request on two engines.
type PrefillLeg struct {
	Target waxwingpick.TargetID `json:"target"`
	// Data is the IP address and port of its sidecar for requests.
	Data string `json:"data"`
}

// MoveSource is the leaving target whose stream the attempt goes on with.
type MoveSource struct {
	Target waxwingpick.TargetID `json:"target"`
	// Data is the IP address and port of its sidecar for requests.
	Data string `json:"data"`
	// Attempt is the ID of the attempt that ran there.
	Attempt string `json:"attempt"`
	// Tokens is the estimated number of prompt and generated tokens.
	Tokens int `json:"tokens"`
}

// Report is a target's state as its sidecar knows it, piggybacked on answers and returned by probes.
type Report struct {
	Target waxwingpick.TargetID `json:"target"`
	// Incarnation is the name under which orders are to be claimed from now on.
	Incarnation string                   `json:"incarnation"`
	Load        waxwingpick.TargetLoad   `json:"load"`
	Active      waxwingpick.EngineConfig `json:"active,omitzero"`
	// ConfigRevision is the configuration revision that the sidecar acts under.
	ConfigRevision int64  `json:"configRevision"`
	Totals         Totals `json:"totals"`
}

// Totals counts the model work that a sidecar process has admitted and that its engine has done for it.
type Totals struct {
	// Process is the sidecar process; its counts begin at zero.
	Process       string `json:"process"`
	Requests      int64  `json:"requests"`
	PrefillTokens int64  `json:"prefillTokens"`
	DecodeTokens  int64  `json:"decodeTokens"`
}

// Frame is one element of an answer stream; one without data, refusal and Last is a heartbeat.
type Frame struct {
	Attempt string               `json:"attempt"`
	Offset  int64                `json:"offset"`
	Data    json.RawMessage      `json:"data,omitempty"`
	Last    bool                 `json:"last,omitempty"`
	Refusal *waxwingpick.Refusal `json:"refusal,omitempty"`
	// Broken says that the engine was lost after the attempt started.
	Broken bool `json:"broken,omitempty"`
	// Moved says that the target leaves, so that the answer is to go on at another one.
	Moved bool `json:"moved,omitempty"`
	// Held says that the leaving target keeps the KV cache of a moved stream for a while.
	Held   bool    `json:"held,omitempty"`
	Report *Report `json:"report,omitempty"`
}

// Heartbeat reports whether the frame carries nothing but liveness.
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

// The methods of control calls to a sidecar.
const (
	MethodProbe    = "probe"
	MethodBar      = "bar"
	MethodSuspects = "suspects"
)

// MethodClaims hands writes of claims to the entry that gathers them.
const MethodClaims = "claims"

// MethodQuota asks the entry that owns a workspace's rate for a part of it: a quota.Ask is answered by a quota.Grant.
const MethodQuota = "quota"

// ClaimsRequest holds the writes that one entry hands to another.
type ClaimsRequest struct {
	Writes []ledger.ClaimWrite `json:"writes"`
}

// ClaimsResponse holds what became of them, in the same order.
type ClaimsResponse struct {
	Results []ledger.WriteResult `json:"results"`
}

// SuspectsMessage spreads crash suspects between processes.
type SuspectsMessage struct {
	Records []suspect.Record `json:"records"`
}

// BarRequest asks the sidecar to keep an attempt from running.
type BarRequest struct {
	Attempt     string `json:"attempt"`
	Incarnation string `json:"incarnation"`
}

// BarResponse tells what became of the attempt.
type BarResponse struct {
	Standing ledger.Standing `json:"standing"`
	Answer   *ledger.Answer  `json:"answer,omitempty"`
}
