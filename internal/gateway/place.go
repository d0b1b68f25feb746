package gateway

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

// maxTokenRequests bounds the token requests of one choice of targets. Each delays the request by a round trip between gateways.
const maxTokenRequests = 2

// placed is the result of one choice of targets.
type placed struct {
	selection
	verdict waxwingpick.Verdict
	// tokenFor is the target for which a token is to be requested before the next choice; none otherwise.
	tokenFor waxwingpick.Option[waxwingpick.TargetID]
}

// place selects targets until the gate admits the next send. choose returns its choice among the targets that are not
// blocked, and the target that receives the next send.
func place[T any](now time.Time, st *statements, mayRequest bool, choose func(blocked waxwingpick.Set[waxwingpick.TargetID]) (T, waxwingpick.TargetID, waxwingpick.Verdict)) (T, placed) {
	blocked := st.blocked(now, mayRequest)
	for {
		choice, next, verdict := choose(blocked)
		p := placed{
			verdict: verdict,
		}
		switch verdict {
		case waxwingpick.VerdictPlaced:
			switch st.take(now, next) {
			case sendgate.AdmissionTaken:
				return choice, p
			case sendgate.AdmissionRequestTokens:
				if mayRequest {
					p.verdict = waxwingpick.VerdictBlocked
					p.tokenFor = waxwingpick.Some(next)
					return choice, p
				}
				blocked.Add(next)
			case sendgate.AdmissionRefused:
				blocked.Add(next)
			}
		case waxwingpick.VerdictNone:
			if blocked.Len() > 0 {
				if _, _, open := choose(waxwingpick.NewSet[waxwingpick.TargetID]()); open != waxwingpick.VerdictNone {
					p.verdict = waxwingpick.VerdictBlocked
				}
			}
			return choice, p
		case waxwingpick.VerdictLate, waxwingpick.VerdictBlocked:
			return choice, p
		}
	}
}

// placeWithTokens repeats a choice of targets after token requests.
func (x *exchange) placeWithTokens(choose func(now time.Time, mayRequest bool) placed) placed {
	for requests := 0; ; requests++ {
		p := choose(x.process.timers.Now(), requests < maxTokenRequests)
		id, ok := p.tokenFor.Get()
		if !ok {
			return p
		}
		x.process.statements.requestToken(x.ctx, id)
	}
}
