package bodyend

import (
	"errors"

	"waxwingpick"
)

// Verdict is what is known of a response that ended with its connection.
type Verdict uint8

// The verdicts. Only VerdictComplete allows to end the response to the caller as complete.
const (
	// VerdictUnknown means that the target has not said which incarnation it is.
	VerdictUnknown Verdict = iota
	// VerdictComplete means that the incarnation that sent the response still runs.
	VerdictComplete
	// VerdictBroken means that the incarnation that sent the response has ended, so that the response may be truncated.
	VerdictBroken
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictComplete:
		return "complete"
	case VerdictBroken:
		return "broken"
	case VerdictUnknown:
	}
	return "unknown"
}

// Decide returns the verdict on a response of a target, from what its address answered after the end of the response. err is
// the failure of that call; ErrEngineUnreachable in it means that the address refused the connection. listedStart is the start
// time of the newest incarnation that is listed under the target's ID, in Unix milliseconds; zero if unknown.
//
// An accepted connection proves nothing, since another target may use the address by then, or the same one may have started
// again under its ID. The expected load is one crash that ends all responses of a target at once.
func Decide(sender waxwingpick.Target, listedStart int64, answer waxwingpick.Identity, err error) Verdict {
	id, named := answer.ID.Get()
	start, started := answer.StartUnixMillis.Get()
	switch {
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		return VerdictBroken
	case err != nil:
		return VerdictUnknown
	case named && id != sender.ID:
		return VerdictBroken
	case started && sender.StartUnixMillis != 0:
		if start != sender.StartUnixMillis {
			return VerdictBroken
		}
		return VerdictComplete
	case !named:
		return VerdictUnknown
	case listedStart > sender.StartUnixMillis && sender.StartUnixMillis != 0:
		return VerdictBroken
	}
	return VerdictComplete
}
