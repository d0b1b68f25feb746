package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

const errorTypeStale = "staleFencingNumber"

// StatusError is a response with a status other than 2xx. It unwraps to the matching error of the engine port.
type StatusError struct {
	status  int
	kind    string
	message string
	err     error
}

// Status returns the HTTP status code.
func (e *StatusError) Status() int {
	return e.status
}

// Kind returns the error type in the response body, or an empty string.
func (e *StatusError) Kind() string {
	return e.kind
}

// Error returns the status code and the engine's message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.err.Error(), e.status, e.message)
}

// Unwrap returns the error of the engine port.
func (e *StatusError) Unwrap() error {
	return e.err
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// checkStatus returns nil for a 2xx status and a StatusError otherwise.
func checkStatus(resp *http1.Response) error {
	status := resp.Status()
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	var body errorBody
	// The message is only logged, so a body that can't be read leaves it empty.
	if data, err := resp.Body(maxErrorBytes); err == nil {
		_ = json.Unmarshal(data, &body)
	}
	return &StatusError{
		status:  status,
		kind:    body.Error.Type,
		message: body.Error.Message,
		err:     statusCause(status, body.Error.Type),
	}
}

// statusCause returns ErrEngineRefused for statuses after which the request has not run, ErrStaleFencingNumber for
// a stale order, and ErrEngineLost for statuses that leave open whether the request has run.
func statusCause(status int, kind string) error {
	switch status {
	case http.StatusConflict:
		if kind == errorTypeStale {
			return waxwingpick.ErrStaleFencingNumber
		}
		// The stream ID has been used before, so an earlier request with it may have run.
		return waxwingpick.ErrEngineLost
	case http.StatusBadRequest,
		http.StatusUnauthorized,
		http.StatusForbidden,
		http.StatusNotFound,
		http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType,
		http.StatusUnprocessableEntity,
		http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return waxwingpick.ErrEngineRefused
	}
	return waxwingpick.ErrEngineLost
}
