package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

const errorTypeStale = "staleFencingNumber"

// StatusError is an engine's answer other than success; it unwraps to the error of the engine port.
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

// Kind returns the error type that the engine gave.
func (e *StatusError) Kind() string {
	return e.kind
}

// Error describes the answer.
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

// checkStatus returns nil for success and a StatusError otherwise.
func checkStatus(a *http1.Answer) error {
	status := a.Status()
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	var body errorBody
	// The text is for the log only; a body that can't be read leaves it empty.
	if data, err := a.Body(maxErrorBytes); err == nil {
		_ = json.Unmarshal(data, &body)
	}
	return &StatusError{
		status:  status,
		kind:    body.Error.Type,
		message: body.Error.Message,
		err:     statusCause(status, body.Error.Type),
	}
}

// statusCause tells refusals, after which nothing ran, from answers that leave it open.
func statusCause(status int, kind string) error {
	switch status {
	case http.StatusConflict:
		if kind == errorTypeStale {
			return waxwingpick.ErrStaleFencingNumber
		}
		// The stream ID has been used, so an earlier request with it may have run.
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
