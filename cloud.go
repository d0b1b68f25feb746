package waxwingpick

import (
	"context"

	"github.com/rotisserie/eris"
)

var (
	// ErrFenced means that the platform has seen a higher fencing token, so that another process holds the duty.
	ErrFenced = eris.New("a higher fencing token was used")
	// ErrThrottled means that the platform rejected a call because of its rate. The call had no effect.
	ErrThrottled = eris.New("rate of platform calls exceeded")
)

// Fencing identifies the holder of a duty in a call to the platform.
type Fencing struct {
	Holder InstanceID
	// Token rises with each holder.
	Token int64
}

// UsageSink receives reports of the requests of workspaces.
type UsageSink interface {
	// ReportUsage sends the number of requests that began in a window by workspace. Window k begins k window lengths after the start
	// of 1970. It fails with ErrFenced, ErrThrottled, ErrUnavailable (no effect) or ErrUnknownOutcome.
	ReportUsage(ctx context.Context, f Fencing, window int64, requests map[WorkspaceID]int64) error
}
