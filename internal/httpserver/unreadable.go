package httpserver

import (
	"errors"
	"net/http"
	"os"

	"github.com/valyala/fasthttp"

	"waxwingpick/internal/http1"
)

// UnreadableStatus returns the status for a request that could not be read, and therefore has not run.
func UnreadableStatus(err error) int {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &headerTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
