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
	// NotRun is the engine's statement that it has not run the request.
	NotRun bool `json:"notRun"`
}

// checkStatus returns nil for a 2xx status and a StatusError otherwise.
func checkStatus(resp *http1.Response) error {
	status := resp.Status()
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	var body errorBody
	// A body that can't be read states nothing.
	if data, err := resp.Body(maxErrorBytes); err == nil {
		_ = json.Unmarshal(data, &body)
	}
	return &StatusError{
		status:  status,
		kind:    body.Error.Type,
		message: body.Error.Message,
		err:     statusCause(status, body.Error),
	}
}

// statusCause returns ErrEngineRefused if the request has not run, ErrStaleFencingNumber for a stale order, and ErrEngineLost if the
// response leaves open whether the request has run.
//
// Errors in the request itself are found before it runs. Any other status says nothing by its number: a server in front of the engine may
// send 408, 429 or 503 after it has passed the request on.
func statusCause(status int, detail errorDetail) error {
	switch status {
	case http.StatusConflict:
		if detail.Type == errorTypeStale {
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
		http.StatusUnprocessableEntity:
		return waxwingpick.ErrEngineRefused
	}
	if waxwingpick.PromisesNotRun(status) && detail.NotRun {
		return waxwingpick.ErrEngineRefused
	}
	return waxwingpick.ErrEngineLost
}
