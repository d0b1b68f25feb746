package ledger

import (
	"encoding/json"
	"fmt"
	"time"

	"waxwingpick"
)

// ClaimState is the state of a claim's attempt.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen means that the attempt may be about to be sent, be running or have run.
	ClaimOpen ClaimState = "open"
	// ClaimNotRun means that the attempt was refused before it ran, so a new attempt may take the claim.
	ClaimNotRun ClaimState = "notRun"
	// ClaimAnswered means that the attempt ran and its response is stored in the claim.
	ClaimAnswered ClaimState = "answered"
	// ClaimUnknown means that it can no longer be determined whether the attempt ran.
	ClaimUnknown ClaimState = "unknown"
)

// Claim is the record of the only attempt that may run for an idempotency key.
type Claim struct {
	State     ClaimState `json:"state"`
	BodyHash  string     `json:"bodyHash"`
	Attempt   Attempt    `json:"attempt"`
	ClaimedAt time.Time  `json:"claimedAt"`
	Answer    *Response  `json:"answer,omitempty"`
}

// Attempt identifies one try to run an order on one target.
type Attempt struct {
	ID       string                 `json:"id"`
	Service  string                 `json:"service,omitempty"`
	Target   waxwingpick.TargetID   `json:"target"`
	Instance waxwingpick.InstanceID `json:"instance"`
	// Address is the IP address and port of the sidecar's control endpoint.
	Address string `json:"address,omitempty"`
	// Incarnation is the guard's incarnation that the sidecar announced. The guard admits the attempt under no other.
	Incarnation string `json:"incarnation"`
}

// Response is a target's response to an order.
type Response struct {
	Status  int                  `json:"status"`
	Headers []waxwingpick.Header `json:"headers,omitempty"`
	Body    []byte               `json:"body,omitempty"`
}

func (a *Response) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

func (c Claim) encode() []byte {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // Cannot fail: a claim holds only plain values.
	}
	return value
}

func decodeClaim(value []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, fmt.Errorf("decode claim: %w", err)
	}
	return c, nil
}
