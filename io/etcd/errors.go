package etcd

import (
	"encoding/json"
	"errors"
	"fmt"

	"waxwingpick"
	"waxwingpick/internal/etcdwire"
)

// maxErrorMessage is the maximum length of the service's error message that is kept, in bytes.
const maxErrorMessage = 256

// StatusError is an error response of the service.
type StatusError struct {
	status  int
	code    int
	message string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Code returns the gRPC status code of the response, zero if it had none.
func (e *StatusError) Code() int { return e.code }

// Message returns the service's error message, truncated to 256 bytes.
func (e *StatusError) Message() string { return e.message }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("key-value service responded with status %d, code %d: %s", e.status, e.code, e.message)
}

func newStatusError(status int, body []byte) *StatusError {
	var s etcdwire.Status
	if err := json.Unmarshal(body, &s); err != nil {
		s.Message = string(body)
	}
	return &StatusError{
		status:  status,
		code:    s.Code,
		message: s.Message[:min(len(s.Message), maxErrorMessage)],
	}
}

// exchangeError maps an exchange without a valid response to the errors of waxwingpick.KeyValue.
func exchangeError(kind waxwingpick.KeyValueCall, err error) error {
	if kind.Writes() && !errors.Is(err, waxwingpick.ErrEngineUnreachable) {
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnavailable, err)
}

// responseError maps an error response to the errors of waxwingpick.KeyValue.
func responseError(kind waxwingpick.KeyValueCall, e *StatusError) error {
	switch {
	case e.code == etcdwire.CodeNotFound && e.message == etcdwire.MessageLeaseNotFound:
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrLeaseExpired, e)
	case e.message == etcdwire.MessageTooLarge:
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrValueTooLarge, e)
	case rejectedBeforeProposal(e):
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnavailable, e)
	case e.code == etcdwire.CodeInvalidArgument:
		return fmt.Errorf("%s: %w", kind, e)
	}
	// After a timeout inside the service, a leader change or a 502 of a gateway, a write may still have taken effect.
	return exchangeError(kind, e)
}

// rejectedBeforeProposal reports whether the service states that it rejected the request before it proposed a write to its members. The
// HTTP status alone may come from a server in front of it.
func rejectedBeforeProposal(e *StatusError) bool {
	return e.code == etcdwire.CodeResourceExhausted ||
		e.message == etcdwire.MessageNoLeader
}
