package etcd

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/internal/etcdwire"
)

// maxMessage bounds the part of a service's error text that is kept, in bytes.
const maxMessage = 256

// StatusError is an error that the service answered.
type StatusError struct {
	status  int
	code    int
	message string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Code returns the gRPC status code in the answer; zero where it had none.
func (e *StatusError) Code() int { return e.code }

// Message returns the service's error text, cut to a bounded length.
func (e *StatusError) Message() string { return e.message }

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("key-value service answered %d, code %d: %s", e.status, e.code, e.message)
}

func newStatusError(status int, body []byte) *StatusError {
	var s etcdwire.Status
	if err := json.Unmarshal(body, &s); err != nil {
		s.Message = string(body)
	}
	return &StatusError{
		status:  status,
		code:    s.Code,
		message: s.Message[:min(len(s.Message), maxMessage)],
	}
}

// failed maps an exchange without an answer to the errors of the port.
func failed(kind waxwingpick.KeyValueCall, err error) error {
	if kind.Writes() && !notSent(err) {
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnavailable, err)
}

// refused maps an error answer to the errors of the port.
func refused(kind waxwingpick.KeyValueCall, e *StatusError) error {
	switch {
	case e.code == etcdwire.CodeNotFound && e.message == etcdwire.MessageLeaseNotFound:
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrLeaseExpired, e)
	case e.message == etcdwire.MessageTooLarge:
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrValueTooLarge, e)
	case beforeProposal(e):
		return fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnavailable, e)
	case e.code == etcdwire.CodeInvalidArgument:
		return fmt.Errorf("%s: %w", kind, e)
	}
	// A timeout inside the service, a changed leader or a gateway's 502 may hide a write that took effect.
	return failed(kind, e)
}

// beforeProposal reports whether the service refuses so before it proposes a write to its members.
func beforeProposal(e *StatusError) bool {
	return e.status == fasthttp.StatusTooManyRequests ||
		e.code == etcdwire.CodeResourceExhausted ||
		e.message == etcdwire.MessageNoLeader
}
