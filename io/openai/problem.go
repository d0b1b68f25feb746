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

// defaultRetryAfter is when a model request may come back where nobody knows better.
const defaultRetryAfter = time.Second

// Problem is an RFC 9457 problem with the outcome of the request.
type Problem struct {
	Type    string              `json:"type"`
	Title   string              `json:"title"`
	Status  int                 `json:"status"`
	Detail  string              `json:"detail,omitempty"`
	Outcome waxwingpick.Outcome `json:"outcome"`
	Reason  waxwingpick.Reason  `json:"reason,omitempty"`
	Field   string              `json:"field,omitempty"`
	// RetryAfterMillis is when a new try makes sense; zero where none does.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// NewProblem describes an error as a problem.
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

// modelProblem describes the failure of a model request, which may always be sent again, so it says when.
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

// retryAfterSeconds rounds up, for the header holds whole seconds.
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
