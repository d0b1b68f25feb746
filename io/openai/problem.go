package openai

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"waxwingpick"
)

const problemType = "application/problem+json"

// defaultRetryAfter is the retry delay of a failed model request if the error sets none.
const defaultRetryAfter = time.Second

// Problem is an RFC 9457 problem document with the outcome of the request.
type Problem struct {
	Type    string              `json:"type"`
	Title   string              `json:"title"`
	Status  int                 `json:"status"`
	Detail  string              `json:"detail,omitempty"`
	Outcome waxwingpick.Outcome `json:"outcome"`
	Reason  waxwingpick.Reason  `json:"reason,omitempty"`
	Field   string              `json:"field,omitempty"`
	// RetryAfterMillis is the delay after which a retry can succeed. It is zero if the request should not be retried.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// NewProblem returns the problem document for an error.
func NewProblem(err error) Problem {
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) {
		return refusalProblem(refusal)
	}
	var field *FieldError
	if errors.As(err, &field) {
		return badRequest(err.Error(), field.Field)
	}
	if errors.Is(err, ErrNotJSON) {
		return badRequest(err.Error(), "")
	}
	return Problem{
		Type:    "about:blank",
		Title:   http.StatusText(http.StatusBadGateway),
		Status:  http.StatusBadGateway,
		Detail:  err.Error(),
		Outcome: waxwingpick.OutcomeUnknown,
	}
}

// modelProblem returns the problem document for a failed model request. Model requests may always be repeated, so a
// server error includes a retry delay.
func modelProblem(err error) Problem {
	p := NewProblem(err)
	if p.Status >= http.StatusInternalServerError && p.RetryAfterMillis == 0 {
		p.RetryAfterMillis = defaultRetryAfter.Milliseconds()
	}
	return p
}

func badRequest(detail, field string) Problem {
	return Problem{
		Type:    "about:blank",
		Title:   http.StatusText(http.StatusBadRequest),
		Status:  http.StatusBadRequest,
		Detail:  detail,
		Outcome: waxwingpick.OutcomeNotRun,
		Field:   field,
	}
}

func refusalProblem(r *waxwingpick.Refusal) Problem {
	status := refusalStatus(r)
	return Problem{
		Type:             "about:blank",
		Title:            http.StatusText(status),
		Status:           status,
		Detail:           r.Detail,
		Outcome:          r.Outcome,
		Reason:           r.Reason,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}
}

func refusalStatus(r *waxwingpick.Refusal) int {
	switch r.Reason {
	case waxwingpick.ReasonRateLimit:
		return http.StatusTooManyRequests
	case waxwingpick.ReasonKeyReuse, waxwingpick.ReasonCrashSuspect:
		return http.StatusUnprocessableEntity
	case waxwingpick.ReasonKeyExpired:
		return http.StatusConflict
	case waxwingpick.ReasonWrongModel:
		return http.StatusNotFound
	case waxwingpick.ReasonHeaders:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if r.Outcome == waxwingpick.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// retryAfterSeconds converts milliseconds to the value of the Retry-After header, rounded up to seconds.
func retryAfterSeconds(millis int64) string {
	d := time.Duration(millis) * time.Millisecond
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func sendProblem(c fiber.Ctx, p Problem) error {
	if p.RetryAfterMillis > 0 {
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds(p.RetryAfterMillis))
	}
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, problemType)
	return c.Status(p.Status).Send(body)
}
